#include "programs/yuccactl/commands.h"
#include "programs/yuccactl/difference.h"
#include "programs/yuccactl/document_file.h"
#include "programs/yuccactl/submission_record.h"

#include <fmt/core.h>

namespace yuccawheel::programs::yuccactl
{

namespace
{

/// Configuration in force and its version.
struct InForce {
    std::uint64_t version = 0;
    settings::Document document;
};

tl::expected<InForce, Failure> fetchInForce(const EntryClient &client)
{
    const auto answer = client.get("/v1/configuration");
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    InForce inForce;
    inForce.version = answer->value("version", std::uint64_t{0});
    Json items = Json::object();
    for (const char *key : {"teams", "services"}) {
        if (answer->contains(key) && !answer->at(key).empty()) {
            items[key] = answer->at(key);
        }
    }
    if (items.empty()) {
        return inForce;
    }
    auto document = settings::parseDocument(items.dump(), "configuration in force");
    if (!document) {
        return tl::unexpected(Failure{ExitCode::Failed,
                                      "cannot parse the configuration in force; the entry may be of another release:\n"
                                          + settings::toString(document.error()),
                                      *answer});
    }
    inForce.document = std::move(*document);
    return inForce;
}

std::string formatPlan(const std::vector<Change> &changes, std::uint64_t version)
{
    return fmt::format("against version {}:\n{}", version, renderChanges(changes));
}

/// Runs one `submit` command.
class Submission
{
public:
    explicit Submission(const Session &session) : session_(session)
    {
    }

    ExitCode run()
    {
        auto file = readDocumentFile(session_.options().arguments.at(0));
        if (!file) {
            return session_.fail(file.error());
        }
        file_ = std::move(*file);
        hash_ = hashContent(file_.text);
        path_ = recordPath(file_.name, hash_, session_.options().client.stateDir);
        if (session_.options().dryRun) {
            return dryRun();
        }
        const auto pending = loadRecord(path_);
        if (!pending) {
            return session_.fail(ExitCode::Usage, pending.error());
        }
        return *pending ? resume(**pending) : start();
    }

private:
    ExitCode dryRun() const
    {
        const auto inForce = fetchInForce(session_.client());
        if (!inForce) {
            return session_.fail(inForce.error());
        }
        const auto changes = compare(inForce->document, file_.document);
        session_.print({{"version", inForce->version}, {"changes", toJson(changes)}},
                       formatPlan(changes, inForce->version));
        return ExitCode::Ok;
    }

    // Expects the version that the printed diff is based on, so that exactly the changes shown to the operator are
    // made.
    ExitCode start()
    {
        SubmissionRecord record{newSubmissionId(), hash_, session_.options().expectedVersion};
        if (file_.document.changesConfiguration()) {
            const auto inForce = fetchInForce(session_.client());
            if (!inForce) {
                return session_.fail(inForce.error());
            }
            if (!record.expectedVersion) {
                record.expectedVersion = inForce->version;
            }
            printProgress(formatPlan(compare(inForce->document, file_.document), inForce->version));
        }
        if (const auto saved = saveRecord(path_, record); !saved) {
            return session_.fail(ExitCode::Usage, saved.error() + "; set --state-dir to a folder that can be written");
        }
        return send(record);
    }

    ExitCode resume(const SubmissionRecord &record)
    {
        if (record.contentHash == hash_) {
            printProgress("sending submission " + record.submission + " again because it was not acknowledged");
            return send(record);
        }
        if (session_.options().abandon) {
            removeRecord(path_);
            return start();
        }
        return session_.fail(
            ExitCode::Usage,
            fmt::format("an earlier content of this document was submitted as {} and not acknowledged. "
                        "Submit that content again to learn its outcome, or use --abandon",
                        record.submission));
    }

    ExitCode send(const SubmissionRecord &record)
    {
        std::vector<http::Header> headers{{"Content-Type", "application/yaml"}, {"Yw-Submission", record.submission}};
        if (record.expectedVersion) {
            headers.push_back({"Yw-Expected-Version", std::to_string(*record.expectedVersion)});
        }
        const auto answer = session_.client().post("/v1/submissions", std::move(headers), file_.text);
        if (!answer) {
            return handleFailure(answer.error(), record);
        }
        session_.print(*answer);
        removeRecord(path_);
        if (session_.options().wait && file_.document.changesConfiguration()) {
            return waitUntilInForce(session_, answer->value("version", std::uint64_t{0}));
        }
        return ExitCode::Ok;
    }

    // Only the cluster's final answer ends the submission; otherwise the record is kept for the next run.
    ExitCode handleFailure(Failure failure, const SubmissionRecord &record) const
    {
        switch (failure.code) {
        case ExitCode::Conflict:
            removeRecord(path_);
            failure.message += conflictHint(failure.details, record);
            break;
        case ExitCode::Usage:
            removeRecord(path_);
            break;
        default:
            failure.message +=
                fmt::format("\nsubmission {} is kept in {}; run the same command again", record.submission, path_);
        }
        return session_.fail(failure);
    }

    static std::string conflictHint(const Json &details, const SubmissionRecord &record)
    {
        std::string winner;
        if (details.is_object() && details.contains("winner")) {
            winner = "; the winner is " + details["winner"].dump();
        }
        return fmt::format(
            "{}; expected version {}. Check the changes with `yuccactl submit --dry-run` and submit again",
            winner,
            record.expectedVersion.value_or(0));
    }

    const Session &session_;
    DocumentFile file_;
    std::string hash_;
    std::string path_;
};

} // namespace

ExitCode runSubmit(const Session &session)
{
    return Submission(session).run();
}

} // namespace yuccawheel::programs::yuccactl
