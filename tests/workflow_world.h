#pragma once

#include "fakes/called_workers.h"
#include "workflow/job_manager.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace yuccawheel::tests
{

/// A job manager with fake workers, a log that commits after a while, and a network that delays and loses, in virtual
/// time.
class World : public workflow::ManagerPort
{
public:
    struct Options {
        std::uint64_t seed = 1;
        double answersLost = 0; ///< Share of the orders without an answer.
        double carriedOutLate = 0; ///< Share of the orders without an answer that take effect seconds later.
        std::uint64_t machines = 1; ///< That ask the eligibility service.
        std::chrono::milliseconds serviceTime{28}; ///< Of a question, also of one that nobody waits for any more.
        fakes::CalledWorkers::Options workers;
    };

    explicit World(Options options) : options_(options), random_(options.seed), workers(options.workers)
    {
        manager = std::make_unique<workflow::JobManager>(*this, limits());
    }

    static workflow::ManagerLimits limits()
    {
        return {std::chrono::milliseconds{10'000}, std::chrono::milliseconds{700}};
    }

    void lead()
    {
        for (const std::string &id : ids()) {
            nextReport_[id] = now;
        }
        manager->startLeading(state, ++epoch_, now, wall());
        for (std::uint64_t machine = 1; machine <= options_.machines; ++machine) {
            manager->addGateway(machine);
        }
        leading_ = true;
    }
    void dropProposals()
    {
        log_.clear();
    }
    /// The same leader begins anew from the state of the log.
    void leadAgain()
    {
        looks_.clear();
        manager->startLeading(state, epoch_, now, wall());
    }
    /// The leader ends; what it proposed and was not committed is lost, and its orders on their way still arrive.
    void loseLeader()
    {
        leading_ = false;
        manager = std::make_unique<workflow::JobManager>(*this, limits());
        log_.clear();
        looks_.clear();
        ++generation_;
    }

    std::vector<std::string> ids()
    {
        std::vector<std::string> result;
        for (const auto &[id, worker] : workers.all()) {
            result.push_back(id);
        }
        return result;
    }

    void submit(workflow::JobKey key, const workflow::JobSpec &spec, const workflow::QueuePolicy &policy)
    {
        workers.expect(key, spec);
        propose(workflow::AcceptEntry{key, spec, policy, wall()});
    }
    void cancel(workflow::JobKey key)
    {
        propose(workflow::CancelEntry{key, wall()});
    }

    void run(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{0}; passed < duration; ++passed) {
            step();
        }
    }
    template <typename Condition>
    bool runUntil(Condition condition, std::chrono::milliseconds limit)
    {
        for (std::chrono::milliseconds passed{0}; passed < limit; ++passed) {
            if (condition()) {
                return true;
            }
            step();
        }
        return condition();
    }

    workflow::JobPhase phaseOf(workflow::JobKey key) const
    {
        return state.findJob(key)->phase;
    }

    // ManagerPort.
    bool propose(const workflow::LogEntry &entry) override
    {
        // Through its codec, as on the disk.
        log_.push_back({*workflow::decodeEntry(workflow::encodeEntry(entry)), now + CommitDelay});
        return true;
    }
    void start(workflow::WorkerNumber worker,
               const workflow::WorkerIdentity &identity,
               const workflow::StartOrder &order) override
    {
        send(
            identity,
            [this, id = identity.id, order] { return workers.start(id, order, now); },
            [this, worker, order](const workflow::OrderAnswer &answer) {
                manager->onStartAnswer(worker, order.task, order.run, answer, now);
            });
    }
    void stop(workflow::WorkerNumber worker,
              const workflow::WorkerIdentity &identity,
              const workflow::StopOrder &order) override
    {
        send(
            identity,
            [this, id = identity.id, order] { return workers.stop(id, order, now); },
            [this, worker, order](const workflow::OrderAnswer &answer) {
                manager->onStopAnswer(worker, order.task, order.run, answer, now);
            });
    }
    void poll(workflow::WorkerNumber worker,
              const workflow::WorkerIdentity &identity,
              const workflow::PollOrder &order) override
    {
        ++looksSent;
        WaitingLook look{worker, identity, order, now + Delay, now + Delay + order.wait, 0};
        look.born = workers.worker(identity.id).identity.born;
        if (look.born != identity.born) {
            look.order.acknowledged = 0; // It takes a new connection, on which nothing is acknowledged.
        }
        looks_.push_back(look);
    }
    void queryEligibility(const workflow::EligibilityQuery &question) override
    {
        ++questions;
        if (dropQuestions) {
            return;
        }
        workflow::EligibilityRows rows(std::in_place);
        for (const std::string &worker : question.workers) {
            if (mayRun(question.step, worker)) {
                rows->emplace_back(worker, "ticket");
            }
        }
        // The service serves the questions of each machine one after the other.
        base::TimePoint &lineEnd = lineEnds_[question.gateway];
        lineEnd = std::max(lineEnd, now + Delay) + options_.serviceTime;
        uselessAnswers += lineEnd > now + question.timeout ? 1 : 0;
        later(lineEnd, [this, number = question.number, rows] { manager->onEligibilityAnswer(number, rows, now); });
    }
    void forget(const workflow::WorkerIdentity &identity) override
    {
        static_cast<void>(identity);
    }

    std::function<bool(const std::string &step, const std::string &worker)> mayRun = [](const auto &, const auto &) {
        return true;
    };

private:
    Options options_;
    std::mt19937_64 random_;

public:
    base::TimePoint now{std::chrono::hours(1)};
    workflow::State state;
    fakes::CalledWorkers workers;
    std::unique_ptr<workflow::JobManager> manager;
    std::uint64_t looksSent = 0;
    std::uint64_t questions = 0;
    std::uint64_t uselessAnswers = 0; ///< That came after their question's time.
    bool dropQuestions = false; ///< Questions get no answer.

private:
    static constexpr std::chrono::milliseconds Delay{2};
    static constexpr std::chrono::milliseconds CommitDelay{20};
    static constexpr std::chrono::milliseconds OrderTimeout{700};
    static constexpr std::chrono::milliseconds ReportInterval{1'500};

    struct WaitingLook {
        workflow::WorkerNumber worker = 0;
        workflow::WorkerIdentity identity;
        workflow::PollOrder order;
        base::TimePoint arrivesAt;
        base::TimePoint answerBy;
        std::int64_t born = 0; ///< Of the life that the connection leads to.
    };
    struct Proposal {
        workflow::LogEntry entry;
        base::TimePoint commitAt;
    };

    workflow::WallTime wall() const
    {
        return std::chrono::duration_cast<workflow::WallTime>(now.time_since_epoch());
    }
    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }
    void later(base::TimePoint at, std::function<void()> what)
    {
        events_.emplace(at, [generation = generation_, this, what = std::move(what)] {
            if (generation == generation_) {
                what();
            }
        });
    }
    void always(base::TimePoint at, std::function<void()> what)
    {
        events_.emplace(at, std::move(what));
    }

    template <typename Effect, typename Done>
    void send(const workflow::WorkerIdentity &identity, Effect effect, Done done)
    {
        const std::string id = identity.id;
        if (chance(options_.answersLost)) {
            if (chance(options_.carriedOutLate)) {
                const std::chrono::milliseconds delay(2'000 + random_() % 6'000);
                // It waits inside the worker, and ends with it.
                always(now + delay, [this, id, effect, born = workers.worker(id).identity.born] {
                    if (workers.worker(id).identity.born == born && !workers.worker(id).cut) {
                        effect();
                    }
                });
            }
            later(now + OrderTimeout, [done] { done(workflow::OrderAnswer{}); });
            return;
        }
        always(now + Delay, [=, this, generation = generation_, sent = now, born = workers.worker(id).identity.born] {
            fakes::CalledWorkers::Worker &worker = workers.worker(id);
            // A connection to an earlier life does not reach the next one.
            if (worker.cut || worker.identity.born != born) {
                always(sent + OrderTimeout, [this, done, generation] {
                    if (generation == generation_) {
                        done(workflow::OrderAnswer{});
                    }
                });
                return;
            }
            const workflow::OrderAnswer answer = effect();
            always(now + Delay, [this, done, answer, generation] {
                if (generation == generation_) {
                    done(answer);
                }
            });
        });
    }

    void stepLooks()
    {
        std::vector<WaitingLook> open;
        std::swap(open, looks_);
        for (const WaitingLook &look : open) {
            fakes::CalledWorkers::Worker &worker = workers.worker(look.identity.id);
            workflow::PollAnswer answer;
            answer.number = look.order.number;
            if (now < look.arrivesAt) {
                looks_.push_back(look);
            } else if (worker.cut || worker.identity.born != look.born) {
                if (now < look.answerBy + OrderTimeout) {
                    looks_.push_back(look);
                } else {
                    later(now, [this, look, answer] { manager->onPollAnswer(look.worker, answer, now); });
                }
            } else {
                answer = workers.poll(look.identity.id, look.order, now);
                answer.acknowledged = look.order.acknowledged;
                if (answer.ended.empty() && now < look.answerBy) {
                    looks_.push_back(look);
                } else {
                    later(now + Delay, [this, look, answer] { manager->onPollAnswer(look.worker, answer, now); });
                }
            }
        }
    }

    void step()
    {
        now += std::chrono::milliseconds{1};
        workers.step(now);
        while (!events_.empty() && events_.begin()->first <= now) {
            const auto what = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            what();
        }
        stepLooks();
        while (!log_.empty() && log_.front().commitAt <= now && leading_) {
            const workflow::LogEntry entry = std::move(log_.front().entry);
            log_.pop_front();
            std::vector<workflow::StateEvent> changes;
            state.apply(entry, changes);
            manager->onEntryApplied(entry, changes, now, wall());
        }
        if (leading_) {
            manager->setLeaseEnd(now + std::chrono::milliseconds{500});
            for (auto &[id, at] : nextReport_) {
                const fakes::CalledWorkers::Worker &worker = workers.worker(id);
                if (now >= at && !worker.cut) {
                    manager->onReport(workers.report(id, now), now);
                    at = now + ReportInterval;
                }
            }
            manager->tick(now, wall());
        }
    }

    std::multimap<base::TimePoint, std::function<void()>> events_;
    std::deque<Proposal> log_;
    std::vector<WaitingLook> looks_;
    std::map<std::string, base::TimePoint> nextReport_;
    std::map<std::uint64_t, base::TimePoint> lineEnds_; ///< When the service is done with a machine's questions.
    std::uint64_t epoch_ = 0;
    std::uint64_t generation_ = 0;
    bool leading_ = false;
};

} // namespace yuccawheel::tests
