#include "programs/yuccactl/document_file.h"

#include "settings/reader.h"

namespace yuccawheel::programs::yuccactl
{

namespace
{

Failure documentFailure(const settings::Problems &problems)
{
    Json list = Json::array();
    for (const settings::Problem &problem : problems) {
        list.push_back({{"file", problem.file},
                        {"line", problem.line},
                        {"key", problem.key},
                        {"found", problem.found},
                        {"allowed", problem.allowed}});
    }
    std::string text = settings::toString(problems);
    text.pop_back();
    return {ExitCode::Usage, text, {{"problems", std::move(list)}}};
}

} // namespace

tl::expected<DocumentFile, Failure> readDocumentFile(const std::string &name)
{
    const auto text = settings::readFile(name == "-" ? "/dev/stdin" : name, settings::MaxDocumentBytes);
    if (!text) {
        return tl::unexpected(documentFailure({text.error()}));
    }
    auto document = settings::parseDocument(*text, name);
    if (!document) {
        return tl::unexpected(documentFailure(document.error()));
    }
    return DocumentFile{name, *text, std::move(*document)};
}

} // namespace yuccawheel::programs::yuccactl
