#pragma once

#include "base/verdict.h"
#include "protocol/codec.h"
#include "protocol/frame.h"

#include <string>
#include <string_view>

namespace yuccawheel::protocol
{

enum class ErrorCode : std::uint8_t {
    Unreachable, ///< No connection to the process.
    Timeout, ///< No answer within the time allowed.
    Closed, ///< The connection ended before the answer came.
    Overloaded, ///< A bounded queue is full.
    BadRequest, ///< The far side could not read the request.
    NotLeader, ///< `redirect` names the leader's address, if known.
    NotOwner, ///< Another process owns the zone, or the epoch is out of date.
    NotReady, ///< The far side cannot serve yet; the message says why.
    NotFound,
    Conflict,
};

constexpr std::string_view toString(ErrorCode code)
{
    constexpr std::string_view Names[] = {"unreachable",
                                          "timeout",
                                          "closed",
                                          "overloaded",
                                          "bad_request",
                                          "not_leader",
                                          "not_owner",
                                          "not_ready",
                                          "not_found",
                                          "conflict"};
    return Names[static_cast<std::size_t>(code)];
}

} // namespace yuccawheel::protocol

YW_MSGPACK_ENUM(yuccawheel::protocol::ErrorCode, yuccawheel::protocol::ErrorCode::Conflict)

namespace yuccawheel::protocol
{

/// Why a request between processes has no answer, and whether its work may have run.
struct RequestError {
    static constexpr MessageType Type = MessageType::Error;
    ErrorCode code = ErrorCode::Unreachable;
    base::Verdict verdict = base::Verdict::NotRun;
    std::string message;
    std::string redirect;

    MSGPACK_DEFINE(code, verdict, message, redirect)
};

} // namespace yuccawheel::protocol
