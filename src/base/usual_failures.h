#pragma once

#include <algorithm>
#include <cmath>

namespace yuccawheel::base
{

/// How usual failures are on all workers at the moment, to judge what a failure says about the worker that it happened
/// on.
class UsualFailures
{
public:
    void recordSuccess()
    {
        share_ -= share_ * SampleWeight;
    }
    void recordFailure()
    {
        share_ += (1 - share_) * SampleWeight;
    }
    /// Returns the share of recent runs that failed, from 0 to 1.
    double share() const
    {
        return share_;
    }
    /// Returns the weight of a failure as evidence against its worker, from 0 to 1: the logarithm of how much likelier
    /// it is on a failing worker than on any, relative to that at a low share of failures. Rows of failures of equal
    /// weight are thus about equally unlikely on sound workers, however usual failures are.
    double weightOfFailure() const
    {
        const double usual = std::clamp(share_, LowShare, FailingWorkerShare);
        return std::log(FailingWorkerShare / usual) / std::log(FailingWorkerShare / LowShare);
    }

private:
    static constexpr double SampleWeight = 1.0 / 32;
    static constexpr double LowShare = 0.15; ///< Up to this share each failure counts in full.
    static constexpr double FailingWorkerShare = 0.9; ///< Of the runs on a worker that is at fault itself.

    double share_ = 0;
};

} // namespace yuccawheel::base
