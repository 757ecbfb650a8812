#pragma once

#include "protocol/error.h"
#include "protocol/frame.h"
#include "workflow/configuration.h"
#include "workflow/job.h"
#include "workflow/state.h"
#include "workflow/worker.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace yuccawheel::workflow
{

enum class QueueVerb : std::uint8_t { Submit, Read, Cancel };

enum class QueueOutcome : std::uint8_t {
    Accepted, ///< The submission or cancellation is in the log, from this or an earlier request.
    State,
    Pending,
    NoSuchQueue,
    NoSuchJob,
    Refused, ///< Not accepted; this request will have no effect.
    Malformed,
};

struct QueueReply {
    static constexpr protocol::MessageType Type = protocol::MessageType::QueueReply;
    QueueOutcome outcome = QueueOutcome::Refused;
    JobPhase phase = JobPhase::Queued;
    std::uint64_t pending = 0; ///< Number of jobs of the queue that have not started.
    std::chrono::milliseconds retryAfter{0}; ///< Set if refused.
    std::string reason;

    MSGPACK_DEFINE(outcome, phase, pending, retryAfter, reason)
};

/// A caller's request. The host and the longest matching path prefix identify the queue, the rest of the path the job.
struct QueueRequest {
    static constexpr protocol::MessageType Type = protocol::MessageType::QueueRequest;
    using Reply = QueueReply;
    QueueVerb verb = QueueVerb::Read;
    std::string host;
    std::string path;
    std::optional<JobSpec> job; ///< Set for submissions.
    /// The reply to a read of a running job may be delayed by this time, so that it can tell of the job's end.
    std::chrono::milliseconds wait{0};

    MSGPACK_DEFINE(verb, host, path, job, wait)
};

struct ReportWorkerReply {
    static constexpr protocol::MessageType Type = protocol::MessageType::ReportWorkerReply;
    std::string reportTo; ///< Address of the leader, which takes the next reports.

    MSGPACK_DEFINE(reportTo)
};

struct ReportWorker {
    static constexpr protocol::MessageType Type = protocol::MessageType::ReportWorker;
    using Reply = ReportWorkerReply;
    WorkerReport report;

    MSGPACK_DEFINE(report)
};

struct PutConfigurationReply {
    static constexpr protocol::MessageType Type = protocol::MessageType::PutConfigurationReply;
    std::uint64_t version = 0; ///< Version in force.

    MSGPACK_DEFINE(version)
};

struct PutConfiguration {
    static constexpr protocol::MessageType Type = protocol::MessageType::PutConfiguration;
    using Reply = PutConfigurationReply;
    Configuration configuration;

    MSGPACK_DEFINE(configuration)
};

struct GetConfigurationReply {
    static constexpr protocol::MessageType Type = protocol::MessageType::GetConfigurationReply;
    std::uint64_t version = 0;
    std::string text;

    MSGPACK_DEFINE(version, text)
};

struct GetConfiguration {
    static constexpr protocol::MessageType Type = protocol::MessageType::GetConfiguration;
    using Reply = GetConfigurationReply;
    bool whole = true;

    MSGPACK_DEFINE(whole)
};

/// Sent to a gateway, which queries the eligibility service.
struct AskEligibility {
    static constexpr protocol::MessageType Type = protocol::MessageType::AskEligibility;
    std::uint64_t query = 0;
    std::string step;
    std::vector<std::string> workers;
    std::chrono::milliseconds timeout{0};

    MSGPACK_DEFINE(query, step, workers, timeout)
};

/// Answer of a gateway to AskEligibility.
struct EligibilityAnswer {
    static constexpr protocol::MessageType Type = protocol::MessageType::EligibilityAnswer;
    std::uint64_t query = 0;
    bool answered = false;
    std::vector<std::pair<std::string, std::string>> rows; ///< Ids of eligible workers with their tickets.

    MSGPACK_DEFINE(query, answered, rows)
};

/// Announces all managers that the sending manager knows, and which one leads.
struct Topology {
    static constexpr protocol::MessageType Type = protocol::MessageType::Topology;
    std::uint32_t leader = 0; ///< 0 if none is known.
    std::uint64_t term = 0;
    std::vector<std::uint32_t> managers; ///< IPv4 addresses as numbers.

    MSGPACK_DEFINE(leader, term, managers)
};

} // namespace yuccawheel::workflow

YW_MSGPACK_ENUM(yuccawheel::workflow::QueueVerb, yuccawheel::workflow::QueueVerb::Cancel)
YW_MSGPACK_ENUM(yuccawheel::workflow::QueueOutcome, yuccawheel::workflow::QueueOutcome::Malformed)
