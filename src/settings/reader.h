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

/// Parses text that must hold one YAML document at most, and that a mapping; none counts as an empty one. Never throws.
tl::expected<YAML::Node, Problem> parseYaml(const std::string &text, const std::string &file);

/// Bytes. Far more than any settings need, and little enough to hold in memory.
inline constexpr std::size_t MaxSettingsFileBytes = 1U << 20U;

/// Reads a whole file of at most `longest` bytes.
tl::expected<std::string, Problem> readFile(const std::string &file, std::size_t longest);

/// Checked view of one YAML mapping. Each fault is appended to a list, so that all of them are found at once.
/// A key that was never asked for is a fault too; `finish` reports those.
class Reader
{
public:
    Reader(std::string file, const YAML::Node &mapping, std::string path, Problems &problems);

    /// Returns the value of a key, or nothing if it is absent or faulty.
    template <typename Value>
    std::optional<Value> read(const std::string &key, const Rule<Value> &rule)
    {
        const Entry *const entry = find(key);
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

    /// Like `read`, but an absent key is a fault.
    template <typename Value>
    std::optional<Value> require(const std::string &key, const Rule<Value> &rule)
    {
        if (find(key) == nullptr) {
            reportMissing(key, rule.allowed);
            return std::nullopt;
        }
        return read(key, rule);
    }

    /// Stores the value of a key; leaves the target as it is if the key is absent or faulty.
    template <typename Value, typename Target>
    void into(const std::string &key, const Rule<Value> &rule, Target &target)
    {
        if (auto value = read(key, rule)) {
            target = static_cast<Target>(std::move(*value));
        }
    }

    /// Returns a reader of the mapping below a key, or nothing if the key is absent or faulty.
    std::optional<Reader> child(const std::string &key);
    /// Returns a reader of each element of the list below a key.
    std::vector<Reader> children(const std::string &key, std::size_t most);
    /// Returns the scalars in the list below a key; faulty ones are left out.
    template <typename Value>
    std::vector<Value> list(const std::string &key, const Rule<Value> &rule, std::size_t most)
    {
        std::vector<Value> values;
        for (const Entry &element : elements(key, most, "scalars")) {
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
    /// Adds the entries of another mapping; a key that stands in both is a fault.
    void merge(const Reader &other);

    bool has(const std::string &key);
    bool isScalar(const std::string &key);
    /// Returns the file of a key, or of the mapping if the key is absent.
    std::string fileOf(const std::string &key);
    /// Returns the line of a key, or of the mapping if the key is absent.
    int lineOf(const std::string &key);
    /// Returns the text of a scalar as it stands in the file.
    std::string textOf(const std::string &key);
    void reportMissing(const std::string &key, const std::string &allowed);
    /// Reports a value that is faulty beside others.
    void reportValue(const std::string &key, const std::string &allowed);
    /// Reports each key that was never asked for.
    void finish();

private:
    struct Entry {
        std::string key;
        std::string file;
        int line = 0;
        YAML::Node value;
    };

    const Entry *lookUp(const std::string &key) const;
    /// Like `lookUp`, and marks the key as known.
    const Entry *find(const std::string &key);
    void index(const YAML::Node &mapping);
    std::optional<Reader> below(const Entry &entry);
    static bool isAcceptableScalar(const YAML::Node &node, bool quotedAllowed);
    /// Returns the elements of the list below a key; none if it is absent or faulty.
    std::vector<Entry> elements(const std::string &key, std::size_t most, std::string_view what);
    void add(Problem problem);
    void report(const Entry &entry, const std::string &allowed);
    std::string pathOf(const std::string &key) const;

    std::string file_;
    std::string path_;
    int line_;
    std::vector<Entry> entries_;
    std::set<std::string> known_;
    Problems *problems_;
};

} // namespace yuccawheel::settings
