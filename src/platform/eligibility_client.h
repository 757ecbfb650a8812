#pragma once

#include "http/call_pool.h"
#include "workflow/outside.h"

#include <boost/asio/io_context.hpp>

namespace yuccawheel::platform
{

/// Client of the platform's eligibility service.
class EligibilityClient : public workflow::EligibilityCalls
{
public:
    EligibilityClient(boost::asio::io_context &io, const settings::Endpoint &service);

    void ask(const std::string &step,
             const std::vector<std::string> &workers,
             std::chrono::milliseconds timeout,
             std::function<void(workflow::EligibilityRows)> done) override;

private:
    http::CallPool pool_;
};

} // namespace yuccawheel::platform
