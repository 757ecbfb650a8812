#include "settings/document.h"

#include "settings/document_fields.h"
#include "settings/reader.h"

#include <fmt/core.h>

#include <set>

namespace yuccawheel::settings
{

namespace
{

using placement::JobKind;
using placement::JobSpec;
using placement::TeamQuota;

JobSpec readJob(Reader &reader, JobKind kind)
{
    JobSpec job;
    job.kind = kind;
    for (const JobField &field : jobFields()) {
        if (!field.appliesTo(kind)) {
            continue;
        }
        if (field.required && !reader.has(field.key)) {
            reader.reportMissing(field.key, field.allowed);
        }
        field.read(reader, job);
    }
    if (kind == JobKind::Service && job.maxDisruption > job.tasks) {
        reader.reportInvalid("max_disruption", "at most the number of replicas");
    }
    reader.reportUnknownKeys();
    return job;
}

TeamQuota readTeam(Reader &reader)
{
    TeamQuota team;
    team.team = reader.require("name", nameRule()).value_or("");
    if (auto guaranteed = reader.child("guaranteed")) {
        team.guaranteed = readResources(*guaranteed, false);
    } else if (!reader.has("guaranteed")) {
        reader.reportMissing("guaranteed", "a mapping of cpu, memory and optionally accelerators");
    }
    reader.reportUnknownKeys();
    return team;
}

/// Reads one list of the document and reports duplicate names.
template <typename Item, typename Read>
std::vector<Item> readList(Reader &root, const std::string &key, Read read)
{
    std::vector<Item> items;
    std::set<std::string> seen;
    for (Reader &reader : root.children(key, MaxListItems)) {
        const std::string name = reader.textOf("name");
        if (!name.empty() && !seen.insert(name).second) {
            reader.reportInvalid("name", "a name that is unique in " + key);
        }
        items.push_back(read(reader));
    }
    return items;
}

std::vector<JobSpec> readJobs(Reader &root, const std::string &key, JobKind kind)
{
    return readList<JobSpec>(root, key, [kind](Reader &reader) { return readJob(reader, kind); });
}

template <typename Item>
void checkNotRemoved(Reader &remove,
                     const std::string &key,
                     const std::vector<std::string> &removed,
                     const std::vector<Item> &items,
                     std::string Item::*name)
{
    const std::set<std::string> names(removed.begin(), removed.end());
    for (const Item &item : items) {
        if (names.contains(item.*name)) {
            remove.reportInvalid(key,
                                 fmt::format("names that the document does not also define, unlike {}", item.*name));
        }
    }
}

void readRemovals(Reader &root, Document &document)
{
    if (auto remove = root.child("remove")) {
        document.removedTeams = remove->list("teams", nameRule(), MaxListItems);
        document.removedServices = remove->list("services", nameRule(), MaxListItems);
        checkNotRemoved(*remove, "teams", document.removedTeams, document.teams, &TeamQuota::team);
        checkNotRemoved(*remove, "services", document.removedServices, document.services, &JobSpec::name);
        remove->reportUnknownKeys();
    }
}

bool isEmpty(const Document &document)
{
    return document.batch.empty() && document.allAtOnce.empty() && !document.changesConfiguration();
}

Document readDocument(Reader &root)
{
    Document document;
    document.teams = readList<TeamQuota>(root, "teams", readTeam);
    document.services = readJobs(root, "services", JobKind::Service);
    document.batch = readJobs(root, "batch", JobKind::Batch);
    document.allAtOnce = readJobs(root, "all_at_once", JobKind::Gang);
    readRemovals(root, document);
    root.reportUnknownKeys();
    return document;
}

} // namespace

bool Document::changesConfiguration() const
{
    return !teams.empty() || !services.empty() || !removedTeams.empty() || !removedServices.empty();
}

tl::expected<Document, Problems> parseDocument(const std::string &text, const std::string &file)
{
    if (text.size() > MaxDocumentBytes) {
        const std::string found = fmt::format("{} bytes", text.size());
        return tl::unexpected(Problems{{file, 0, "", found, fmt::format("at most {} bytes", MaxDocumentBytes)}});
    }
    const auto node = parseYaml(text, file);
    if (!node) {
        return tl::unexpected(Problems{node.error()});
    }
    Problems problems;
    Reader root(file, *node, "", problems);
    Document document = readDocument(root);
    if (problems.empty() && isEmpty(document)) {
        problems.push_back({file, 0, "", "an empty document", "teams, services, batch, all_at_once or remove"});
    }
    if (!problems.empty()) {
        return tl::unexpected(problems);
    }
    return document;
}

} // namespace yuccawheel::settings
