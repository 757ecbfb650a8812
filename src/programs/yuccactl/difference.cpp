#include "programs/yuccactl/difference.h"

#include <fmt/core.h>

#include <algorithm>
#include <sstream>

namespace yuccawheel::programs::yuccactl
{

namespace
{

using placement::JobSpec;
using placement::TeamQuota;

template <typename Item>
const Item *findNamed(const std::vector<Item> &items, std::string Item::*name, const std::string &wantedName)
{
    const auto found =
        std::find_if(items.begin(), items.end(), [&](const Item &item) { return item.*name == wantedName; });
    return found == items.end() ? nullptr : &*found;
}

/// Appends the changes of the teams or of the services between both documents.
template <typename Item, typename Format>
void compareItems(std::vector<Change> &changes,
                  const std::string &typeName,
                  const std::vector<Item> &inForce,
                  const std::vector<Item> &wanted,
                  const std::vector<std::string> &removed,
                  std::string Item::*name,
                  Format format)
{
    for (const Item &item : wanted) {
        const Item *const old = findNamed(inForce, name, item.*name);
        Change change{Change::Kind::Added,
                      fmt::format("{} {}", typeName, item.*name),
                      old == nullptr ? "" : format(*old),
                      format(item)};
        if (old != nullptr) {
            change.kind = change.before == change.after ? Change::Kind::Unchanged : Change::Kind::Changed;
        }
        changes.push_back(std::move(change));
    }
    for (const std::string &removedName : removed) {
        const Item *const old = findNamed(inForce, name, removedName);
        const auto kind = old == nullptr ? Change::Kind::Unchanged : Change::Kind::Removed;
        changes.push_back({kind, fmt::format("{} {}", typeName, removedName), old == nullptr ? "" : format(*old), ""});
    }
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

bool contains(const std::vector<std::string> &lines, const std::string &line)
{
    return std::find(lines.begin(), lines.end(), line) != lines.end();
}

// The canonical form has one line for each field and no duplicates, so the lines can be compared as sets.
std::string renderChangedLines(const Change &change)
{
    const auto before = splitLines(change.before);
    const auto after = splitLines(change.after);
    std::string text;
    for (const std::string &line : before) {
        text += contains(after, line) ? "" : "    - " + line + "\n";
    }
    for (const std::string &line : after) {
        text += contains(before, line) ? "" : "    + " + line + "\n";
    }
    return text;
}

} // namespace

std::vector<Change> compare(const settings::Document &inForce, const settings::Document &wanted)
{
    std::vector<Change> changes;
    compareItems(
        changes, "team", inForce.teams, wanted.teams, wanted.removedTeams, &TeamQuota::team, settings::formatTeam);
    compareItems(changes,
                 "service",
                 inForce.services,
                 wanted.services,
                 wanted.removedServices,
                 &JobSpec::name,
                 settings::formatJob);
    for (const JobSpec &job : wanted.batch) {
        changes.push_back({Change::Kind::Submitted, "batch " + job.name, "", settings::formatJob(job)});
    }
    for (const JobSpec &job : wanted.allAtOnce) {
        changes.push_back({Change::Kind::Submitted, "all_at_once " + job.name, "", settings::formatJob(job)});
    }
    return changes;
}

std::string toString(Change::Kind kind)
{
    switch (kind) {
    case Change::Kind::Added:
        return "added";
    case Change::Kind::Changed:
        return "changed";
    case Change::Kind::Removed:
        return "removed";
    case Change::Kind::Unchanged:
        return "unchanged";
    case Change::Kind::Submitted:
        return "submitted";
    }
    return "";
}

std::string renderChanges(const std::vector<Change> &changes)
{
    std::string text;
    for (const Change &change : changes) {
        text += fmt::format("  {} {}\n{}", toString(change.kind), change.item, renderChangedLines(change));
    }
    return text;
}

Json toJson(const std::vector<Change> &changes)
{
    Json list = Json::array();
    for (const Change &change : changes) {
        list.push_back({{"change", toString(change.kind)},
                        {"item", change.item},
                        {"before", change.before},
                        {"after", change.after}});
    }
    return list;
}

} // namespace yuccawheel::programs::yuccactl
