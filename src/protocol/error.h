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
    Timeout, ///< No reply within the request's timeout.
    Closed, ///< The connection was closed before the reply arrived.
    Overloaded, ///< A bounded queue is full.
    BadRequest, ///< The request or its reply could not be decoded.
    NotLeader, ///< `redirect` names the leader's address, if known.
    NotOwner, ///< Another process owns the zone, or the epoch is outdated.
    NotReady, ///< The process can't serve requests yet; `message` says why.
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

/// Reason why a request between processes failed. `verdict` says whether the request may have been executed.
struct RequestError {
    static constexpr MessageType Type = MessageType::Error;
    ErrorCode code = ErrorCode::Unreachable;
    base::Verdict verdict = base::Verdict::NotRun;
    std::string message;
    std::string redirect;

    MSGPACK_DEFINE(code, verdict, message, redirect)
};

} // namespace yuccawheel::protocol
