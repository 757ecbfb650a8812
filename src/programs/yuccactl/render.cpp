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

// Counts characters, not the bytes of their UTF-8 form.
std::size_t width(const std::string &text)
{
    return static_cast<std::size_t>(std::count_if(
        text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xc0U) != 0x80; }));
}

// What names a thing goes first; the other columns keep the order of the answer.
std::size_t rankOf(const std::string &column)
{
    constexpr std::array<std::string_view, 12> First{
        "item", "id", "name", "executor", "node", "role", "rack", "zone", "kind", "team", "state", "version"};
    return static_cast<std::size_t>(std::find(First.begin(), First.end(), column) - First.begin());
}

std::vector<std::string> columnsOf(const Json &rows)
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
        return rankOf(left) < rankOf(right);
    });
    return columns;
}

using Cells = std::vector<std::string>;

std::string joinRow(const Cells &cells, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += cells[i];
        line.append(i + 1 < cells.size() ? widths[i] - width(cells[i]) + ColumnGap : 0, ' ');
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
        columns = columnsOf(rows);
    }
    Cells heading;
    std::vector<std::size_t> widths;
    for (const std::string &column : columns) {
        std::string title = cleanText(column);
        std::transform(title.begin(), title.end(), title.begin(), [](unsigned char c) { return std::toupper(c); });
        widths.push_back(width(title));
        heading.push_back(std::move(title));
    }
    std::vector<Cells> lines{heading};
    for (const Json &row : rows) {
        Cells cells;
        for (const std::string &column : columns) {
            cells.push_back(row.contains(column) ? formatCell(column, row[column]) : "-");
            widths[cells.size() - 1] = std::max(widths[cells.size() - 1], width(cells.back()));
        }
        lines.push_back(std::move(cells));
    }
    std::string text;
    for (const Cells &line : lines) {
        text += joinRow(line, widths);
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
    std::size_t widest = 0;
    for (const auto &[key, element] : value.items()) {
        widest = std::max(widest, width(key));
    }
    std::string scalars;
    std::string tables;
    for (const auto &[key, element] : value.items()) {
        if (isTable(element)) {
            tables += fmt::format("\n{}:\n{}", cleanText(key), renderTable(element));
        } else {
            scalars +=
                cleanText(key) + std::string(widest - width(key) + ColumnGap, ' ') + formatCell(key, element) + '\n';
        }
    }
    return scalars + tables;
}

} // namespace yuccawheel::programs::yuccactl
