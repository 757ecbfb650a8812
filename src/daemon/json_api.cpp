#include "daemon/json_api.h"

namespace yuccawheel::daemon
{

http::Response jsonResponse(int status, const nlohmann::json &body)
{
    return {status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json", {}};
}

http::Response errorResponse(int status, std::string_view code, std::string_view message, base::Verdict verdict)
{
    return jsonResponse(status, {{"error", code}, {"message", message}, {"verdict", base::toString(verdict)}});
}

http::Response errorResponse(const protocol::RequestError &error)
{
    using protocol::ErrorCode;
    int status = 503;
    switch (error.code) {
    case ErrorCode::BadRequest:
        status = 400;
        break;
    case ErrorCode::NotFound:
        status = 404;
        break;
    case ErrorCode::Conflict:
        status = 409;
        break;
    default:
        status = error.verdict == base::Verdict::NotRun ? 503 : 504;
        break;
    }
    return errorResponse(status, protocol::toString(error.code), error.message, error.verdict);
}

} // namespace yuccawheel::daemon
