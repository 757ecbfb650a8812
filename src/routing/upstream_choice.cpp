#include "routing/upstream_choice.h"

#include <algorithm>
#include <random>

namespace yuccawheel::routing
{

namespace
{

class RoundRobin final : public UpstreamChoice
{
public:
    // Candidates are sorted by upstream index, so the next one is the first above the last pick.
    std::size_t choose(std::span<const Candidate> candidates) override
    {
        const auto next = std::find_if(candidates.begin(), candidates.end(), [this](const Candidate &candidate) {
            return candidate.upstream > last_;
        });
        const auto pick = next == candidates.end() ? candidates.begin() : next;
        last_ = pick->upstream;
        return static_cast<std::size_t>(pick - candidates.begin());
    }

private:
    UpstreamIndex last_ = 0;
};

class LeastOutstanding final : public UpstreamChoice
{
public:
    explicit LeastOutstanding(std::uint64_t seed) : random_(seed)
    {
    }

    // Starts at a random position, so that entries with the same counts do not all pick the same upstream.
    std::size_t choose(std::span<const Candidate> candidates) override
    {
        const std::size_t start = random_() % candidates.size();
        std::size_t best = start;
        for (std::size_t i = 1; i < candidates.size(); ++i) {
            const std::size_t at = (start + i) % candidates.size();
            if (candidates[at].outstanding < candidates[best].outstanding) {
                best = at;
            }
        }
        return best;
    }

private:
    std::minstd_rand random_;
};

/// Power of two random choices.
class TwoChoices final : public UpstreamChoice
{
public:
    explicit TwoChoices(std::uint64_t seed) : random_(seed)
    {
    }

    std::size_t choose(std::span<const Candidate> candidates) override
    {
        if (candidates.size() == 1) {
            return 0;
        }
        const std::size_t first = random_() % candidates.size();
        const std::size_t second = (first + 1 + random_() % (candidates.size() - 1)) % candidates.size();
        return cost(candidates[second]) < cost(candidates[first]) ? second : first;
    }

private:
    // Expected wait: latency times the load per usable slot. An unknown latency counts as short.
    static double cost(const Candidate &candidate)
    {
        constexpr double UnknownLatencySeconds = 1e-4;
        const double latency =
            std::max(std::chrono::duration<double>(candidate.latency).count(), UnknownLatencySeconds);
        return latency * (candidate.outstanding + 1.0) / std::max(candidate.usable, 1U);
    }

    std::minstd_rand random_;
};

} // namespace

std::unique_ptr<UpstreamChoice> makeUpstreamChoice(ChoiceKind kind, std::uint64_t seed)
{
    switch (kind) {
    case ChoiceKind::RoundRobin:
        return std::make_unique<RoundRobin>();
    case ChoiceKind::LeastOutstanding:
        return std::make_unique<LeastOutstanding>(seed);
    case ChoiceKind::TwoChoices:
        break;
    }
    return std::make_unique<TwoChoices>(seed);
}

} // namespace yuccawheel::routing
