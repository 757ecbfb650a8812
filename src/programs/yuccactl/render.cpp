#include "programs/yuccactl/render.h"

#include <fmt/core.h>

#include <algorithm>

namespace yuccawheel::programs::yuccactl
{

namespace
{

constexpr std::size_t ColumnGap = 2;

// Answers hold names that other programs chose; control characters must not reach the terminal.
std::string clean(std::string text)
{
    for (char &c : text) {
        if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
            c = ' ';
        }
    }
    return text;
}

std::string cell(const Json &value)
{
    if (value.is_string()) {
        return clean(value.get<std::string>());
    }
    if (value.is_null()) {
        return "-";
    }
    if (value.is_array()) {
        std::string text;
        for (const Json &element : value) {
            text += (text.empty() ? "" : ",") + cell(element);
        }
        return text.empty() ? "-" : text;
    }
    if (value.is_object()) {
        std::string text;
        for (const auto &[key, element] : value.items()) {
            text += (text.empty() ? "" : " ") + clean(key) + "=" + cell(element);
        }
        return text.empty() ? "-" : text;
    }
    return value.dump();
}

// Counts characters, not the bytes of their UTF-8 form.
std::size_t width(const std::string &text)
{
    return static_cast<std::size_t>(std::count_if(
        text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xc0U) != 0x80; }));
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
        std::string title = clean(column);
        std::transform(title.begin(), title.end(), title.begin(), [](unsigned char c) { return std::toupper(c); });
        widths.push_back(width(title));
        heading.push_back(std::move(title));
    }
    std::vector<Cells> lines{heading};
    for (const Json &row : rows) {
        Cells cells;
        for (const std::string &column : columns) {
            cells.push_back(row.contains(column) ? cell(row[column]) : "-");
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
        return cell(value) + '\n';
    }
    std::size_t widest = 0;
    for (const auto &[key, element] : value.items()) {
        widest = std::max(widest, width(key));
    }
    std::string scalars;
    std::string tables;
    for (const auto &[key, element] : value.items()) {
        if (isTable(element)) {
            tables += fmt::format("\n{}:\n{}", clean(key), renderTable(element));
        } else {
            scalars += clean(key) + std::string(widest - width(key) + ColumnGap, ' ') + cell(element) + '\n';
        }
    }
    return scalars + tables;
}

} // namespace yuccawheel::programs::yuccactl
