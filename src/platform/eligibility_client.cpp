#include "platform/eligibility_client.h"

#include "platform/json_fields.h"
#include "platform/worker_answers.h"

namespace yuccawheel::platform
{

namespace
{

constexpr std::size_t MaxConnections = 2; ///< The next call is sent while one is served.

} // namespace

EligibilityClient::EligibilityClient(boost::asio::io_context &io, const settings::Endpoint &service)
    : pool_(io, service, {MaxConnections, 64, 1U << 20U})
{
}

void EligibilityClient::query(const std::string &step,
                              const std::vector<std::string> &workers,
                              std::chrono::milliseconds timeout,
                              std::function<void(workflow::EligibilityRows)> done)
{
    const Json body{{"step", step}, {"workers", workers}};
    pool_.call({"POST", "/advise", {{"Content-Type", "application/json"}}, encodeJson(body)},
               timeout,
               [step, done = std::move(done)](const auto &answer) { done(parseEligibilityAnswer(step, answer)); });
}

} // namespace yuccawheel::platform
