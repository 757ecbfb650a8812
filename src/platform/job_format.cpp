#include "platform/job_format.h"

#include "platform/json_fields.h"
#include "settings/endpoint.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

namespace yuccawheel::platform
{

namespace
{

using std::chrono::milliseconds;

// Sums over all tasks and workers stay far below the range of the type.
constexpr std::int64_t MaxAmount = 1'000'000'000'000;
constexpr double MaxStretch = 1'000'000;
constexpr std::size_t MaxIdBytes = 256;

std::int64_t amountField(const Json &object, const char *name)
{
    const std::int64_t amount = integerField(object, name);
    if (std::abs(amount) > MaxAmount) {
        throw FormatError(std::string("field ") + name + " is too large");
    }
    return amount;
}

placement::Resources decodeResources(const Json &object)
{
    // Units: `cpu` is in thousandths of a core, `gpu` in whole devices.
    return {amountField(object, "cpu"), amountField(object, "mem_mb"), amountField(object, "gpu")};
}

double stretchField(const Json &object)
{
    const double stretch = numberField(object, "stretch", 1);
    if (stretch < 0 || stretch > MaxStretch) {
        throw FormatError("field stretch is out of range");
    }
    return stretch;
}

std::int32_t priorityField(const Json &object)
{
    const std::int64_t priority = integerField(object, "priority");
    if (std::abs(priority) > std::numeric_limits<std::int32_t>::max()) {
        throw FormatError("field priority is too large");
    }
    return static_cast<std::int32_t>(priority);
}

// Ids are part of a URL path, so they consist of visible ASCII characters.
void checkWorkerId(std::string_view id)
{
    const bool isVisible = std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < 0x7f; });
    if (id.empty() || id.size() > MaxIdBytes || !isVisible) {
        throw FormatError("the worker id is unreadable");
    }
}

workflow::StepSpec decodeStep(const Json &object)
{
    workflow::StepSpec step;
    step.count = countField(object, "count", 1);
    step.perTask = decodeResources(object);
    step.estimatedRunTime = durationField(object, "estimated_ms");
    for (const Json &dependency : arrayField(object, "after")) {
        if (!dependency.is_number_unsigned()
            || dependency.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
            throw FormatError("field after is not an array of step numbers");
        }
        step.after.push_back(dependency.get<std::uint32_t>());
    }
    step.requiredLabel = textField(object, "required_label");
    step.dataRack = textField(object, "data_rack");
    step.maxPerWorker = countField(object, "max_per_server");
    step.checkpointing = flagField(object, "checkpointing");
    step.gang = flagField(object, "gang");
    step.sameRack = flagField(object, "same_rack");
    step.longRunning = flagField(object, "long_running");
    step.bestEffort = flagField(object, "fills");
    step.speculative = flagField(object, "speculative");
    step.image = textField(object, "image");
    step.tailLatencyTarget = durationField(object, "target_ms");
    // `may_miss` limits the tasks that the scheduler evicts at a time; tasks missing for other reasons don't count.
    step.maxUnavailable = countField(object, "may_miss");
    return step;
}

workflow::QueueRoute decodeRoute(const Json &object)
{
    workflow::QueueRoute route;
    requiredField(object, "host");
    requiredField(object, "path_prefix");
    requiredField(object, "timeout_ms");
    route.host = textField(object, "host");
    route.pathPrefix = textField(object, "path_prefix");
    route.timeout = durationField(object, "timeout_ms");
    route.policy.queue = textField(object, "name");
    route.policy.service = textField(object, "service");
    route.policy.priority = priorityField(object);
    route.policy.attempts = countField(object, "attempts", 1);
    route.policy.stretch = stretchField(object);
    route.policy.target = durationField(object, "slo_ms");
    if (object.contains("advice") && !object.at("advice").is_null()) {
        const Json &advice = object.at("advice");
        using Milliseconds = std::chrono::duration<double, std::milli>;
        const auto microsecondsField = [&advice](const char *name) {
            durationField(advice, name); // Checks the range.
            return std::chrono::duration_cast<std::chrono::microseconds>(Milliseconds(numberField(advice, name)));
        };
        // `decision_ms` is the fixed time of a call, `period_ms` the additional time for each worker in it.
        route.policy.eligibility =
            workflow::EligibilityPolicy{microsecondsField("decision_ms"),
                                        microsecondsField("period_ms"),
                                        std::chrono::duration_cast<milliseconds>(microsecondsField("valid_ms"))};
    }
    return route;
}

workflow::ServicePolicy decodeService(const Json &object)
{
    requiredField(object, "name");
    return {textField(object, "name"), flagField(object, "admission_control"), flagField(object, "spare")};
}

} // namespace

workflow::JobSpec decodeJob(std::string_view body)
{
    const Json object = parseObject(body);
    workflow::JobSpec job;
    job.payload = textField(object, "task_spec");
    const Json &steps = requiredField(object, "steps");
    if (steps.size() > workflow::MaxSteps) {
        throw FormatError("the job has too many steps"); // Decoded, they would take a hundred times their text.
    }
    for (const Json &step : steps) {
        job.steps.push_back(decodeStep(step));
    }
    job.occurrences = countField(object, "times");
    job.startAt = timeField(object, "start_at_ms");
    job.interval = durationField(object, "interval_ms");
    return job;
}

workflow::Configuration decodeConfiguration(std::string_view body)
{
    const Json object = parseObject(body);
    workflow::Configuration configuration;
    requiredField(object, "version");
    requiredField(object, "routes");
    requiredField(object, "services");
    const std::int64_t version = integerField(object, "version");
    if (version <= 0) {
        throw FormatError("field version is not a positive number");
    }
    configuration.version = static_cast<std::uint64_t>(version);
    for (const Json &route : arrayField(object, "routes")) {
        configuration.routes.push_back(decodeRoute(route));
    }
    for (const Json &service : arrayField(object, "services")) {
        configuration.services.push_back(decodeService(service));
    }
    configuration.text = std::string(body);
    return configuration;
}

workflow::WorkerReport decodeReport(const std::string &id, std::string_view body)
{
    checkWorkerId(id);
    const Json object = parseObject(body);
    workflow::WorkerReport report;
    report.worker.id = id;
    for (const char *const name : {"service", "address", "zone", "state", "capacity", "labels", "clock_ms", "seq"}) {
        requiredField(object, name);
    }
    report.worker.born = timeField(object, "born").count(); // Start time of the worker process.
    report.worker.service = textField(object, "service");
    report.worker.address = textField(object, "address");
    report.worker.zone = textField(object, "zone");
    report.worker.capacity = decodeResources(requiredField(object, "capacity"));
    for (const Json &label : arrayField(object, "labels")) {
        if (!label.is_string()) {
            throw FormatError("field labels is not an array of strings");
        }
        report.worker.labels.push_back(label.get<std::string>());
    }
    report.clock = timeField(object, "clock_ms"); // The worker's monotonic clock, not wall-clock time.
    report.sequence = countField(object, "seq");
    report.warmUpRemaining = milliseconds(integerField(object, "cold_remaining_ms"));
    report.drainRemaining = milliseconds(integerField(object, "drain_remaining_ms"));
    const std::string state = textField(object, "state");
    if (state != "ready" && state != "draining") {
        throw FormatError("field state is neither ready nor draining");
    }
    report.draining = state == "draining";
    const auto address = settings::parseEndpoint(report.worker.address);
    if (!address || address->port == 0 || !report.worker.capacity.isNonNegative()) {
        throw FormatError("the address is malformed or the capacity is negative");
    }
    return report;
}

workflow::WorkerReport decodeFinalReport(const std::string &id, std::string_view body)
{
    checkWorkerId(id);
    const Json object = body.empty() ? Json::object() : parseObject(body);
    workflow::WorkerReport report;
    report.worker.id = id;
    report.worker.born = timeField(object, "born").count();
    report.leaving = true;
    return report;
}

} // namespace yuccawheel::platform
