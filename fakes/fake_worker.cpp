#include "fakes/fake_worker.h"

#include "base/clock.h"
#include "base/log.h"
#include "fakes/fake_upstream.h"
#include "http/client.h"

#include <fmt/core.h>

#include <condition_variable>
#include <fcntl.h>
#include <map>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace yuccawheel::fakes
{

using base::BootClock;
using base::TimePoint;
using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds PollTimeoutMargin{2000}; ///< Added to the wait of a poll for its timeout.
constexpr milliseconds RetryDelay{100};
constexpr std::chrono::seconds LeaveDuration{4}; ///< Entries stop sending requests within 3 s.
constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int HttpConflict = 409;
constexpr mode_t JournalMode = 0644;

std::string_view toString(WorkerRecord::Kind kind)
{
    switch (kind) {
    case WorkerRecord::Kind::Start:
        return "start";
    case WorkerRecord::Kind::End:
        return "end";
    case WorkerRecord::Kind::Violation:
        return "violation";
    }
    return "";
}

} // namespace

Journal::Journal(const std::string &path)
{
    if (!path.empty()) {
        descriptor_ = open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, JournalMode);
    }
}

Journal::~Journal()
{
    if (descriptor_ >= 0) {
        close(descriptor_);
    }
}

/// Writes each line with a single call, so that the lines of several processes don't interleave.
void Journal::append(const std::string &worker, const WorkerRecord &record)
{
    if (descriptor_ < 0) {
        return;
    }
    const std::string line = fmt::format("{} {} {} {} {} {}\n",
                                         record.at.time_since_epoch().count(),
                                         toString(record.kind),
                                         record.task,
                                         worker,
                                         record.incarnation,
                                         record.detail);
    if (write(descriptor_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        base::logError("journal_failed").with("worker", worker);
    }
}

/// Upstream of a service task that has ended. It keeps serving until every entry must know that it leaves.
struct LeavingUpstream {
    std::unique_ptr<FakeUpstream> upstream;
    TimePoint until;
};

struct FakeWorker::Impl {
    Impl(Options workerOptions, Journal &workerJournal)
        : options(std::move(workerOptions))
        , journal(workerJournal)
        , state(options.worker, BootClock::now())
        , scheduler(options.schedulers.front())
        , thread([this] { run(); })
    {
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(mutex);
            stopping = true;
        }
        wake.notify_all();
        thread.join();
    }

    void run();
    bool pollOnce();
    void onAnswer(const http::ClientResponse &response, TimePoint sentAt, std::uint64_t powerLossesAtSend);
    void tryNextScheduler();
    /// Writes new events to the journal before another process can learn of them.
    void publishRecords();
    void updateUpstream(const WorkerRecord &record);
    void removeDrainedUpstreams(TimePoint now);

    const Options options;
    Journal &journal;
    std::mutex mutex;
    std::condition_variable wake;
    WorkerState state;
    std::uint64_t powerLosses = 0; ///< Number of power losses so far.
    bool stopping = false;
    std::size_t nextScheduler = 0;
    settings::Endpoint scheduler;
    std::map<std::string, std::unique_ptr<FakeUpstream>> upstreams; ///< By task id.
    std::vector<LeavingUpstream> leaving;
    std::thread thread;
};

void FakeWorker::Impl::run()
{
    std::unique_lock lock(mutex);
    while (!stopping) {
        bool answered = false;
        if (!state.faults.hang) {
            lock.unlock();
            answered = pollOnce();
            lock.lock();
        }
        if (!answered) {
            wake.wait_for(lock, RetryDelay, [this] { return stopping; });
        }
    }
}

bool FakeWorker::Impl::pollOnce()
{
    http::ClientRequest request{"POST", "/v1/workers/" + options.worker.name + "/poll", {}, ""};
    request.headers.push_back({"Content-Type", "application/json"});
    std::uint64_t powerLossesAtSend = 0;
    const TimePoint sentAt = BootClock::now();
    {
        const std::lock_guard lock(mutex);
        state.advance(sentAt);
        request.body = state.poll(sentAt).dump();
        publishRecords();
        powerLossesAtSend = powerLosses;
    }
    const auto response = http::call(scheduler, request, options.worker.wait + PollTimeoutMargin);
    const std::lock_guard lock(mutex);
    if (!response || response->status != HttpOk) {
        state.pollFailed();
    }
    if (!response) {
        tryNextScheduler();
        return false;
    }
    onAnswer(*response, sentAt, powerLossesAtSend);
    return response->status == HttpOk;
}

void FakeWorker::Impl::onAnswer(const http::ClientResponse &response, TimePoint sentAt, std::uint64_t powerLossesAtSend)
{
    const json body = json::parse(response.body, nullptr, false);
    // The answer to a poll sent before a power loss belongs to the previous incarnation; a hung worker reads no
    // answers.
    if (powerLossesAtSend != powerLosses || state.faults.hang) {
        state.pollFailed();
        return;
    }
    if (response.status == HttpOk && body.is_object()) {
        if (!state.answer(body, sentAt, BootClock::now())) {
            base::logInfo("epoch_refused").with("worker", options.worker.name).with("owner", body.value("owner", ""));
            state.pollFailed();
            tryNextScheduler();
        }
        publishRecords();
        return;
    }
    if (response.status == HttpBadRequest) {
        base::logError("poll_refused").with("worker", options.worker.name).with("answer", response.body);
    }
    if (body.is_object() && body.value("released", false)) {
        state.releaseLease();
    }
    const bool redirected = response.status == HttpConflict && body.is_object() && body.contains("owner");
    const auto owner = redirected ? settings::parseEndpoint(body.value("owner", "")) : std::nullopt;
    if (owner) {
        scheduler = *owner;
    } else {
        tryNextScheduler();
    }
}

void FakeWorker::Impl::tryNextScheduler()
{
    nextScheduler = (nextScheduler + 1) % options.schedulers.size();
    scheduler = options.schedulers[nextScheduler];
}

void FakeWorker::Impl::publishRecords()
{
    for (const WorkerRecord &record : state.takeRecords()) {
        journal.append(options.worker.name, record);
        updateUpstream(record);
    }
}

/// Starts or ends the upstream of a task. A power loss ends the upstream at once; otherwise it announces that it leaves
/// and finishes its requests.
void FakeWorker::Impl::updateUpstream(const WorkerRecord &record)
{
    if (record.kind == WorkerRecord::Kind::Start && !record.serve.empty() && !options.entries.empty()) {
        FakeUpstreamOptions upstream;
        upstream.executor = options.worker.name + "-" + record.task;
        upstream.incarnation = record.incarnation;
        upstream.address = options.ip;
        upstream.services = {record.serve};
        upstream.entries = options.entries;
        upstreams.emplace(record.task, std::make_unique<FakeUpstream>(std::move(upstream)));
        return;
    }
    auto ended = upstreams.extract(record.task);
    if (record.kind != WorkerRecord::Kind::End || ended.empty() || record.detail == "lost") {
        return;
    }
    ended.mapped()->leave();
    leaving.push_back({std::move(ended.mapped()), record.at + LeaveDuration});
}

void FakeWorker::Impl::removeDrainedUpstreams(TimePoint now)
{
    std::erase_if(leaving, [now](const LeavingUpstream &left) {
        return left.until <= now && left.upstream->counts().running == 0;
    });
}

FakeWorker::FakeWorker(Options options, Journal &journal) : impl_(std::make_unique<Impl>(std::move(options), journal))
{
}

FakeWorker::~FakeWorker() = default;

void FakeWorker::tick()
{
    const std::lock_guard lock(impl_->mutex);
    const TimePoint now = BootClock::now();
    impl_->state.advance(now);
    impl_->publishRecords();
    impl_->removeDrainedUpstreams(now);
}

void FakeWorker::setFaults(const WorkerFaults &faults)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->state.faults = faults;
}

WorkerFaults FakeWorker::faults() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->state.faults;
}

void FakeWorker::losePower()
{
    const std::lock_guard lock(impl_->mutex);
    ++impl_->powerLosses;
    impl_->state.losePower(BootClock::now());
    impl_->publishRecords();
}

} // namespace yuccawheel::fakes
