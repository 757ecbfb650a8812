#pragma once

#include "workflow/worker.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccawheel::workflow
{

/// Finds the known incarnations that a report concerns, by id and address, so that the cost of a report does not grow
/// with the number of workers.
/// Load pattern: each of many workers reports every 1.5 s.
class WorkerDirectory
{
public:
    void add(WorkerNumber number, const WorkerIdentity &identity)
    {
        byId_[identity.id].insert(number);
        byAddress_[identity.address].insert(number);
    }
    /// Undoes an `add` with the same arguments.
    void remove(WorkerNumber number, const WorkerIdentity &identity)
    {
        removeFrom(byId_, identity.id, number);
        removeFrom(byAddress_, identity.address, number);
    }
    /// Returns the incarnations of an id, in the order in which they joined.
    std::vector<WorkerNumber> withId(const std::string &id) const
    {
        const Numbers &numbers = find(byId_, id);
        return {numbers.begin(), numbers.end()};
    }
    /// Returns the incarnations with this id or address, in the order in which they joined.
    std::vector<WorkerNumber> withIdOrAddress(const std::string &id, const std::string &address) const
    {
        const Numbers &first = find(byId_, id);
        const Numbers &second = find(byAddress_, address);
        std::vector<WorkerNumber> numbers;
        std::set_union(first.begin(), first.end(), second.begin(), second.end(), std::back_inserter(numbers));
        return numbers;
    }

private:
    using Numbers = std::set<WorkerNumber>;
    using Index = std::unordered_map<std::string, Numbers>;

    static const Numbers &find(const Index &index, const std::string &key)
    {
        static const Numbers none;
        const auto found = index.find(key);
        return found == index.end() ? none : found->second;
    }
    static void removeFrom(Index &index, const std::string &key, WorkerNumber number)
    {
        const auto found = index.find(key);
        if (found != index.end()) {
            found->second.erase(number);
            if (found->second.empty()) {
                index.erase(found);
            }
        }
    }

    Index byId_;
    Index byAddress_;
};

} // namespace yuccawheel::workflow
