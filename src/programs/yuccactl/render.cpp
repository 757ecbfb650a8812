#include "programs/yuccactl/render.h"

#include "programs/yuccactl/cell.h"

#include <fmt/core.h>

#include <algorithm>
#include <array>

namespace yuccawheel::programs::yuccactl
{

namespace
{

constexpr std::size_t ColumnGap = 2;

// Counts the code points of UTF-8 text by skipping continuation bytes.
std::size_t displayWidth(const std::string &text)
{
    return static_cast<std::size_t>(std::count_if(
        text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xc0U) != 0x80; }));
}

// Identifying columns come first; the others keep the order of the answer.
std::size_t columnRank(const std::string &column)
{
    constexpr std::array<std::string_view, 12> LeadingColumns{
        "item", "id", "name", "executor", "node", "role", "rack", "zone", "kind", "team", "state", "version"};
    return static_cast<std::size_t>(std::find(LeadingColumns.begin(), LeadingColumns.end(), column)
                                    - LeadingColumns.begin());
}

std::vector<std::string> collectColumns(const Json &rows)
{
    std::vector<std::string> columns;
    for (const Json &row : rows) {
        for (const auto &[key, value] : row.items()) {
            if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
                columns.push_back(key);
            }
        }
    }
    std::stable_sort(columns.begin(), columns.end(), [](const std::string &left, const std::string &right) {
        return columnRank(left) < columnRank(right);
    });
    return columns;
}

using Cells = std::vector<std::string>;

std::string formatRow(const Cells &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += cells[i];
        line.append(i + 1 < cells.size() ? widths[i] - displayWidth(cells[i]) + ColumnGap : 0, ' ');
    }
    return line + '\n';
}

bool isTable(const Json &value)
{
    return value.is_array() && !value.empty()
        && std::all_of(value.begin(), value.end(), [](const Json &row) { return row.is_object(); });
}

} // namespace

std::string renderTable(const Json &rows, std::vector<std::string> columns)
{
    if (columns.empty()) {
        columns = collectColumns(rows);
    }
    Cells header;
    std::vector<std::size_t> widths;
    for (const std::string &column : columns) {
        std::string title = replaceControlCharacters(column);
        std::transform(title.begin(), title.end(), title.begin(), [](unsigned char c) { return std::toupper(c); });
        widths.push_back(displayWidth(title));
        header.push_back(std::move(title));
    }
    std::vector<Cells> lines{header};
    for (const Json &row : rows) {
        Cells cells;
        for (const std::string &column : columns) {
            cells.push_back(row.contains(column) ? formatCell(column, row[column]) : "-");
            widths[cells.size() - 1] = std::max(widths[cells.size() - 1], displayWidth(cells.back()));
        }
        lines.push_back(std::move(cells));
    }
    std::string text;
    for (const Cells &line : lines) {
        text += formatRow(line, widths);
    }
    return text;
}

std::string render(const Json &value)
{
    if (isTable(value)) {
        return renderTable(value);
    }
    if (!value.is_object()) {
        return formatCell("", value) + '\n';
    }
    std::size_t keyWidth = 0;
    for (const auto &[key, element] : value.items()) {
        keyWidth = std::max(keyWidth, displayWidth(key));
    }
    std::string scalars;
    std::string tables;
    for (const auto &[key, element] : value.items()) {
        if (isTable(element)) {
            tables += fmt::format("\n{}:\n{}", replaceControlCharacters(key), renderTable(element));
        } else {
            scalars += replaceControlCharacters(key) + std::string(keyWidth - displayWidth(key) + ColumnGap, ' ')
                + formatCell(key, element) + '\n';
        }
    }
    return scalars + tables;
}

} // namespace yuccawheel::programs::yuccactl
