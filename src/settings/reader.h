#pragma once

#include "settings/problem.h"
#include "settings/rule.h"

#include <tl/expected.hpp>
#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::settings
{

/// Parses text that holds at most one YAML document, which must be a mapping. Returns an empty mapping if there is
/// none. Never throws.
tl::expected<YAML::Node, Problem> parseYaml(const std::string &text, const std::string &file);

/// Far more than any settings need, yet small enough to hold in memory.
inline constexpr std::size_t MaxSettingsFileBytes = 1U << 20U;

/// Reads a whole file. Fails if it has more than `maxBytes` bytes.
tl::expected<std::string, Problem> readFile(const std::string &file, std::size_t maxBytes);

/// Checked view of a YAML mapping. Problems are appended to a list, so that one pass finds all of them. Keys that were
/// never requested are unknown keys; `reportUnknownKeys` reports them.
class Reader
{
public:
    /// `file` and `path` name the mapping in problems; `problems` must outlive the reader.
    Reader(std::string file, const YAML::Node &mapping, std::string path, Problems &problems);

    /// Returns the value of a key, or nothing if the key is absent or its value invalid.
    template <typename Value>
    std::optional<Value> read(const std::string &key, const Rule<Value> &rule)
    {
        const Entry *const entry = request(key);
        if (entry == nullptr) {
            return std::nullopt;
        }
        if (isAcceptableScalar(entry->value, rule.quotedAllowed)) {
            if (auto value = rule.parse(entry->value.Scalar())) {
                return value;
            }
        }
        report(*entry, rule.allowed);
        return std::nullopt;
    }

    /// Like `read`, but reports an absent key.
    template <typename Value>
    std::optional<Value> require(const std::string &key, const Rule<Value> &rule)
    {
        if (request(key) == nullptr) {
            reportMissing(key, rule.allowed);
            return std::nullopt;
        }
        return read(key, rule);
    }

    /// Stores the value of a key; leaves the target unchanged if the key is absent or its value invalid.
    template <typename Value, typename Target>
    void readInto(const std::string &key, const Rule<Value> &rule, Target &target)
    {
        if (auto value = read(key, rule)) {
            target = static_cast<Target>(std::move(*value));
        }
    }

    /// Returns a reader of the mapping below a key, or nothing if the key is absent or not a mapping.
    std::optional<Reader> child(const std::string &key);
    /// Returns a reader of each mapping in the list below a key; other elements are reported and skipped.
    std::vector<Reader> children(const std::string &key, std::size_t maxCount);
    /// Returns the scalars in the list below a key; invalid ones are reported and skipped.
    template <typename Value>
    std::vector<Value> list(const std::string &key, const Rule<Value> &rule, std::size_t maxCount)
    {
        std::vector<Value> values;
        for (const Entry &element : elements(key, maxCount, "scalars")) {
            auto value = isAcceptableScalar(element.value, rule.quotedAllowed) ? rule.parse(element.value.Scalar())
                                                                               : std::nullopt;
            if (value) {
                values.push_back(std::move(*value));
            } else {
                report(element, rule.allowed);
            }
        }
        return values;
    }

    /// Returns a reader of the mapping below a key, or of an empty mapping if there is none.
    Reader childOrEmpty(const std::string &key);
    /// Adds the entries of another mapping; reports keys that are in both.
    void merge(const Reader &other);

    bool has(const std::string &key);
    bool isScalar(const std::string &key);
    /// Returns the file that holds a key, or that of the mapping if the key is absent.
    std::string fileOf(const std::string &key);
    /// Returns the line of a key, or of the mapping if the key is absent.
    int lineOf(const std::string &key);
    /// Returns the unparsed text of a scalar, or an empty text if the key is absent or not a scalar.
    std::string textOf(const std::string &key);
    void reportMissing(const std::string &key, const std::string &allowed);
    /// Reports a value that the rule of its key accepts but that is invalid in combination with others.
    void reportInvalid(const std::string &key, const std::string &allowed);
    /// Reports each key that was never requested.
    void reportUnknownKeys();

private:
    struct Entry {
        std::string key;
        std::string file;
        int line = 0;
        YAML::Node value;
    };

    const Entry *lookUp(const std::string &key) const;
    /// Like `lookUp`, and marks the key as requested.
    const Entry *request(const std::string &key);
    void indexKeys(const YAML::Node &mapping);
    std::optional<Reader> mappingReader(const Entry &entry);
    static bool isAcceptableScalar(const YAML::Node &node, bool quotedAllowed);
    /// Returns the elements of the list below a key; none if the key is absent, not a list or too long.
    std::vector<Entry> elements(const std::string &key, std::size_t maxCount, std::string_view elementKind);
    void addProblem(Problem problem);
    void report(const Entry &entry, const std::string &allowed);
    std::string pathOf(const std::string &key) const;

    std::string file_;
    std::string path_;
    int line_;
    std::vector<Entry> entries_;
    std::set<std::string> requestedKeys_;
    Problems *problems_;
};

} // namespace yuccawheel::settings
