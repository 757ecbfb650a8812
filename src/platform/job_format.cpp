#include "platform/job_format.h"

#include "platform/json_fields.h"
#include "settings/endpoint.h"

namespace yuccawheel::platform
{

namespace
{

using std::chrono::milliseconds;

placement::Resources decodeResources(const Json &object)
{
    // Units: `cpu` is in thousandths of a core, `gpu` in whole devices.
    return {integerField(object, "cpu"), integerField(object, "mem_mb"), integerField(object, "gpu")};
}

workflow::StepSpec decodeStep(const Json &object)
{
    workflow::StepSpec step;
    step.count = countField(object, "count", 1);
    step.perTask = decodeResources(object);
    step.estimatedRunTime = milliseconds(integerField(object, "estimated_ms"));
    for (const Json &dependency : arrayField(object, "after")) {
        if (!dependency.is_number_unsigned()) {
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
    step.tailLatencyTarget = milliseconds(integerField(object, "target_ms"));
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
    route.timeout = milliseconds(integerField(object, "timeout_ms"));
    route.policy.queue = textField(object, "name");
    route.policy.service = textField(object, "service");
    route.policy.priority = static_cast<std::int32_t>(integerField(object, "priority"));
    route.policy.attempts = countField(object, "attempts", 1);
    route.policy.stretch = numberField(object, "stretch", 1);
    route.policy.target = milliseconds(static_cast<std::int64_t>(numberField(object, "slo_ms")));
    if (object.contains("advice") && !object.at("advice").is_null()) {
        const Json &advice = object.at("advice");
        using Milliseconds = std::chrono::duration<double, std::milli>;
        const auto microsecondsField = [&advice](const char *name) {
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
    for (const Json &step : requiredField(object, "steps")) {
        job.steps.push_back(decodeStep(step));
    }
    job.occurrences = countField(object, "times");
    job.startAt = milliseconds(integerField(object, "start_at_ms"));
    job.interval = milliseconds(integerField(object, "interval_ms"));
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
    const Json object = parseObject(body);
    workflow::WorkerReport report;
    report.worker.id = id;
    for (const char *const name : {"service", "address", "zone", "state", "capacity", "labels", "clock_ms", "seq"}) {
        requiredField(object, name);
    }
    report.worker.born = integerField(object, "born"); // Start time of the worker process, in Unix milliseconds.
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
    report.clock = milliseconds(integerField(object, "clock_ms")); // The worker's monotonic clock, not wall-clock time.
    report.sequence = static_cast<std::uint64_t>(integerField(object, "seq"));
    report.warmUpRemaining = milliseconds(integerField(object, "cold_remaining_ms"));
    report.drainRemaining = milliseconds(integerField(object, "drain_remaining_ms"));
    const std::string state = textField(object, "state");
    if (state != "ready" && state != "draining") {
        throw FormatError("field state is neither ready nor draining");
    }
    report.draining = state == "draining";
    const auto address = settings::parseEndpoint(report.worker.address);
    if (!address || !report.worker.capacity.isNonNegative()) {
        throw FormatError("the address is malformed or the capacity is negative");
    }
    return report;
}

} // namespace yuccawheel::platform
