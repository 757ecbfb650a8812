#pragma once

#include <algorithm>

namespace yuccawheel::routing
{

/// Limits retries to a fraction of the requests, so that they can't amplify an outage.
class RetryBudget
{
public:
    explicit RetryBudget(double perRequest) : perRequest_(perRequest)
    {
    }

    void requestArrived()
    {
        tokens_ = std::min(tokens_ + perRequest_, MaxTokens);
    }
    bool tryTake()
    {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    static constexpr double MaxTokens = 20.0;

    double perRequest_;
    double tokens_ = MaxTokens;
};

} // namespace yuccawheel::routing
