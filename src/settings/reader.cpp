#include "settings/reader.h"

#include "base/scope_guard.h"

#include <fmt/core.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <sstream>

namespace yuccawheel::settings
{

namespace
{

constexpr std::size_t MaxQuotedBytes = 80;
// Bounds the memory that a document with many problems takes in a daemon.
constexpr std::size_t MaxProblems = 200;

int lineNumber(const YAML::Mark &mark)
{
    return mark.line >= 0 ? mark.line + 1 : 0;
}

// Untrusted text is shown on terminals and in logs, so control characters are escaped and long values truncated.
std::string quoted(std::string_view text)
{
    std::string result = "'";
    for (const char c : text.substr(0, MaxQuotedBytes)) {
        const auto byte = static_cast<unsigned char>(c);
        result += byte < ' ' || byte == 0x7f ? fmt::format("\\x{:02x}", byte) : std::string(1, c);
    }
    return result + (text.size() > MaxQuotedBytes ? "…'" : "'");
}

std::string describe(const YAML::Node &node)
{
    switch (node.Type()) {
    case YAML::NodeType::Scalar:
        return node.Tag() == "!" ? "the text " + quoted(node.Scalar()) : quoted(node.Scalar());
    case YAML::NodeType::Sequence:
        return fmt::format("a list of {}", node.size());
    case YAML::NodeType::Map:
        return "a mapping";
    case YAML::NodeType::Null:
    case YAML::NodeType::Undefined:
        break;
    }
    return "nothing";
}

/// Discards all parser events.
class NullHandler : public YAML::EventHandler
{
public:
    void OnDocumentStart(const YAML::Mark & /*mark*/) override
    {
    }
    void OnDocumentEnd() override
    {
    }
    void OnNull(const YAML::Mark & /*mark*/, YAML::anchor_t /*anchor*/) override
    {
    }
    void OnAlias(const YAML::Mark & /*mark*/, YAML::anchor_t /*anchor*/) override
    {
    }
    void OnScalar(const YAML::Mark & /*mark*/,
                  const std::string & /*tag*/,
                  YAML::anchor_t /*anchor*/,
                  const std::string & /*value*/) override
    {
    }
    void OnSequenceStart(const YAML::Mark & /*mark*/,
                         const std::string & /*tag*/,
                         YAML::anchor_t /*anchor*/,
                         YAML::EmitterStyle::value /*style*/) override
    {
    }
    void OnSequenceEnd() override
    {
    }
    void OnMapStart(const YAML::Mark & /*mark*/,
                    const std::string & /*tag*/,
                    YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override
    {
    }
    void OnMapEnd() override
    {
    }
};

// YAML::LoadAll doesn't terminate for input such as ", x: }": the parser reports empty documents forever without
// consuming input. Therefore this function reads at most two documents.
bool hasAtMostOneDocument(const std::string &text)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    NullHandler handler;
    return !parser.HandleNextDocument(handler) || !parser.HandleNextDocument(handler);
}

} // namespace

tl::expected<YAML::Node, Problem> parseYaml(const std::string &text, const std::string &file)
{
    try {
        if (!hasAtMostOneDocument(text)) {
            return tl::unexpected(Problem{file, 0, "", "more than one document", "one document"});
        }
        const YAML::Node document = YAML::Load(text);
        if (document.IsNull()) {
            return YAML::Node(YAML::NodeType::Map);
        }
        if (!document.IsMap()) {
            return tl::unexpected(Problem{file, 1, "", describe(document), "a mapping"});
        }
        return document;
    } catch (const YAML::Exception &exception) {
        return tl::unexpected(Problem{file, lineNumber(exception.mark), "", exception.msg, "well-formed YAML"});
    } catch (const std::exception &exception) {
        return tl::unexpected(Problem{file, 0, "", exception.what(), "well-formed YAML"});
    }
}

tl::expected<std::string, Problem> readFile(const std::string &file, std::size_t maxBytes)
{
    std::FILE *const stream = std::fopen(file.c_str(), "rbe");
    if (stream == nullptr) {
        return tl::unexpected(Problem{file, 0, "", std::strerror(errno), "a readable file"});
    }
    const base::ScopeGuard closer([stream] { std::fclose(stream); });
    std::string text(maxBytes + 1, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), stream));
    if (std::ferror(stream) != 0) {
        return tl::unexpected(Problem{file, 0, "", "a read error", "a readable file"});
    }
    if (text.size() > maxBytes) {
        return tl::unexpected(Problem{
            file, 0, "", fmt::format("more than {} bytes", maxBytes), fmt::format("at most {} bytes", maxBytes)});
    }
    return text;
}

Reader::Reader(std::string file, const YAML::Node &mapping, std::string path, Problems &problems)
    : file_(std::move(file))
    , path_(std::move(path))
    , line_(lineNumber(mapping.Mark()))
    , problems_(&problems)
{
    indexKeys(mapping);
}

// yaml-cpp accepts duplicate keys and returns the first value, so duplicates must be detected here.
void Reader::indexKeys(const YAML::Node &mapping)
{
    std::set<std::string> seen;
    for (const auto &entry : mapping) {
        if (!entry.first.IsScalar()) {
            addProblem({file_,
                        lineNumber(entry.first.Mark()),
                        path_,
                        "a key that is " + describe(entry.first),
                        "text as key"});
            continue;
        }
        const std::string &key = entry.first.Scalar();
        if (!seen.insert(key).second) {
            addProblem({file_, lineNumber(entry.first.Mark()), pathOf(key), "the key a second time", "each key once"});
            continue;
        }
        entries_.push_back({key, file_, lineNumber(entry.first.Mark()), entry.second});
    }
}

const Reader::Entry *Reader::lookUp(const std::string &key) const
{
    const auto found =
        std::find_if(entries_.begin(), entries_.end(), [&](const Entry &entry) { return entry.key == key; });
    return found == entries_.end() ? nullptr : &*found;
}

const Reader::Entry *Reader::request(const std::string &key)
{
    requestedKeys_.insert(key);
    return lookUp(key);
}

bool Reader::has(const std::string &key)
{
    return request(key) != nullptr;
}

int Reader::lineOf(const std::string &key)
{
    const Entry *const entry = request(key);
    return entry != nullptr ? entry->line : line_;
}

std::string Reader::fileOf(const std::string &key)
{
    const Entry *const entry = request(key);
    return entry != nullptr ? entry->file : file_;
}

bool Reader::isScalar(const std::string &key)
{
    const Entry *const entry = request(key);
    return entry != nullptr && entry->value.IsScalar();
}

std::string Reader::textOf(const std::string &key)
{
    return isScalar(key) ? request(key)->value.Scalar() : "";
}

void Reader::merge(const Reader &other)
{
    for (const Entry &entry : other.entries_) {
        if (const Entry *const own = lookUp(entry.key)) {
            addProblem({entry.file,
                        entry.line,
                        pathOf(entry.key),
                        "the key a second time",
                        fmt::format("each key once, it is already in {}:{}", own->file, own->line)});
        } else {
            entries_.push_back(entry);
        }
    }
}

Reader Reader::childOrEmpty(const std::string &key)
{
    auto reader = child(key);
    return reader ? std::move(*reader) : Reader(file_, YAML::Node(YAML::NodeType::Map), pathOf(key), *problems_);
}

std::optional<Reader> Reader::child(const std::string &key)
{
    const Entry *const entry = request(key);
    if (entry == nullptr) {
        return std::nullopt;
    }
    return mappingReader(*entry);
}

std::optional<Reader> Reader::mappingReader(const Entry &entry)
{
    if (!entry.value.IsMap()) {
        report(entry, "a mapping");
        return std::nullopt;
    }
    return Reader(entry.file, entry.value, pathOf(entry.key), *problems_);
}

std::vector<Reader::Entry> Reader::elements(const std::string &key, std::size_t maxCount, std::string_view elementKind)
{
    std::vector<Entry> result;
    const Entry *const list = request(key);
    if (list == nullptr) {
        return result;
    }
    if (!list->value.IsSequence() || list->value.size() > maxCount) {
        report(*list, fmt::format("a list of at most {} {}", maxCount, elementKind));
        return result;
    }
    for (const auto &element : list->value) {
        const int line = lineNumber(element.Mark());
        result.push_back(
            {fmt::format("{}[{}]", key, result.size()), list->file, line > 0 ? line : list->line, element});
    }
    return result;
}

std::vector<Reader> Reader::children(const std::string &key, std::size_t maxCount)
{
    std::vector<Reader> readers;
    for (const Entry &element : elements(key, maxCount, "mappings")) {
        if (auto reader = mappingReader(element)) {
            readers.push_back(std::move(*reader));
        }
    }
    return readers;
}

bool Reader::isAcceptableScalar(const YAML::Node &node, bool quotedAllowed)
{
    return node.IsScalar() && (quotedAllowed || node.Tag() != "!");
}

void Reader::addProblem(Problem problem)
{
    if (problems_->size() < MaxProblems) {
        problems_->push_back(std::move(problem));
    }
}

void Reader::report(const Entry &entry, const std::string &allowed)
{
    addProblem({entry.file, entry.line, pathOf(entry.key), describe(entry.value), allowed});
}

void Reader::reportMissing(const std::string &key, const std::string &allowed)
{
    addProblem({file_, line_, pathOf(key), "nothing", allowed});
}

void Reader::reportInvalid(const std::string &key, const std::string &allowed)
{
    const Entry *const entry = request(key);
    if (entry == nullptr) {
        reportMissing(key, allowed);
    } else {
        report(*entry, allowed);
    }
}

void Reader::reportUnknownKeys()
{
    std::string allowed;
    for (const std::string &key : requestedKeys_) {
        allowed += (allowed.empty() ? "one of " : ", ") + key;
    }
    for (const Entry &entry : entries_) {
        if (!requestedKeys_.contains(entry.key)) {
            addProblem({entry.file, entry.line, path_, "the unknown key " + quoted(entry.key), allowed});
        }
    }
}

std::string Reader::pathOf(const std::string &key) const
{
    return path_.empty() ? key : path_ + "." + key;
}

} // namespace yuccawheel::settings
