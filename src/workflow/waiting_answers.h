#pragma once

#include "base/clock.h"

#include <cstddef>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace yuccawheel::workflow
{

/// Requests whose answers wait for an event, by the `Key` of the event.
template <typename Key>
class WaitingAnswers
{
public:
    using Answer = std::function<void()>;

    static constexpr std::size_t MaxRequests = 10'000; ///< A few hundred bytes each.

    /// Keeps a request until its event comes or expire() is called from `until` on; then `answer` is called once.
    /// Returns false, without keeping it, if too many requests wait.
    bool add(const Key &key, base::TimePoint until, Answer answer)
    {
        if (requests_.size() >= MaxRequests) {
            return false;
        }
        requests_.emplace(key, Request{until, std::move(answer)});
        return true;
    }
    void answer(const Key &key)
    {
        const auto [begin, end] = requests_.equal_range(key);
        answerRange(begin, end);
    }
    void expire(base::TimePoint now)
    {
        std::vector<Answer> due;
        for (auto request = requests_.begin(); request != requests_.end();) {
            if (request->second.until <= now) {
                due.push_back(std::move(request->second.answer));
                request = requests_.erase(request);
            } else {
                ++request;
            }
        }
        for (const Answer &answer : due) {
            answer();
        }
    }
    void answerAll()
    {
        answerRange(requests_.begin(), requests_.end());
    }
    std::size_t size() const
    {
        return requests_.size();
    }

private:
    struct Request {
        base::TimePoint until{};
        Answer answer;
    };
    using Requests = std::multimap<Key, Request>;

    // An answer may add requests, so these are removed first.
    void answerRange(typename Requests::iterator begin, typename Requests::iterator end)
    {
        std::vector<Answer> answers;
        for (auto request = begin; request != end; ++request) {
            answers.push_back(std::move(request->second.answer));
        }
        requests_.erase(begin, end);
        for (const Answer &answer : answers) {
            answer();
        }
    }

    Requests requests_;
};

} // namespace yuccawheel::workflow
