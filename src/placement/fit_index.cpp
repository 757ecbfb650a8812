#include "placement/fit_index.h"

#include <algorithm>
#include <bit>

namespace yuccawheel::placement
{

void FitIndex::setLargestCapacity(const Resources &largest)
{
    const Resources grown{
        std::max(largest.milliCpu, largest_.milliCpu), std::max(largest.memoryMib, largest_.memoryMib), 0};
    if (grown == largest_) {
        return;
    }
    largest_ = grown;
    // The levels of all workers depend on the scale.
    for (WorkerId worker = 0; worker < entries_.size(); ++worker) {
        const Entry entry = entries_[worker];
        if (entry.grid != NoGrid) {
            update(worker, entry.free, static_cast<Occupancy>(entry.grid / AcceleratorLevels));
        }
    }
}

int FitIndex::level(std::int64_t amount, std::int64_t largest)
{
    return static_cast<int>(std::clamp<std::int64_t>(amount * (Levels - 1) / largest, 0, Levels - 1));
}

void FitIndex::update(WorkerId worker, const Resources &free, Occupancy occupancy)
{
    if (worker >= entries_.size()) {
        entries_.resize(worker + 1);
    }
    const auto accelerators = std::min<std::int64_t>(free.accelerators, AcceleratorLevels - 1);
    const auto grid =
        static_cast<std::uint8_t>((static_cast<std::int64_t>(occupancy) * AcceleratorLevels) + accelerators);
    const auto row = static_cast<std::uint8_t>(level(free.milliCpu, largest_.milliCpu));
    const auto column = static_cast<std::uint8_t>(level(free.memoryMib, largest_.memoryMib));
    Entry &entry = entries_[worker];
    entry.free = free;
    if (entry.grid == grid && entry.row == row && entry.column == column) {
        return;
    }
    unlink(worker);
    link(worker, grid, row, column);
}

void FitIndex::remove(WorkerId worker)
{
    if (contains(worker)) {
        unlink(worker);
    }
}

void FitIndex::unlink(WorkerId worker)
{
    Entry &entry = entries_[worker];
    if (entry.grid == NoGrid) {
        return;
    }
    Grid &grid = *grids_[entry.grid];
    if (entry.next != None) {
        entries_[entry.next].previous = entry.previous;
    }
    if (entry.previous != None) {
        entries_[entry.previous].next = entry.next;
    } else {
        grid.heads[entry.row][entry.column] = entry.next;
        if (entry.next == None) {
            grid.rows[entry.row] &= ~(std::uint64_t{1} << entry.column);
        }
    }
    --grid.size;
    entry.next = None;
    entry.previous = None;
    entry.grid = NoGrid;
}

// Workers are inserted at the front of their cell: of equal idle workers the most recently used one is chosen first, so
// that the others stay idle.
void FitIndex::link(WorkerId worker, std::uint8_t gridNumber, std::uint8_t row, std::uint8_t column)
{
    if (!grids_[gridNumber]) {
        grids_[gridNumber] = std::make_unique<Grid>();
        for (auto &heads : grids_[gridNumber]->heads) {
            heads.fill(None);
        }
    }
    Grid &grid = *grids_[gridNumber];
    std::uint32_t &head = grid.heads[row][column];
    Entry &entry = entries_[worker];
    entry.next = head;
    entry.previous = None;
    entry.grid = gridNumber;
    entry.row = row;
    entry.column = column;
    if (head != None) {
        entries_[head].previous = worker;
    }
    head = worker;
    grid.rows[row] |= std::uint64_t{1} << column;
    ++grid.size;
}

std::optional<WorkerId> FitIndex::find(const Resources &need, std::span<const WorkerId> avoid) const
{
    const auto accelerators =
        static_cast<std::size_t>(std::clamp<std::int64_t>(need.accelerators, 0, AcceleratorLevels - 1));
    for (std::size_t occupancy = 0; occupancy < Occupancies; ++occupancy) {
        for (std::size_t count = accelerators; count < AcceleratorLevels; ++count) {
            const auto &grid = grids_[(occupancy * AcceleratorLevels) + count];
            if (!grid || grid->size == 0) {
                continue;
            }
            if (const auto worker = findInGrid(*grid, need, avoid)) {
                return worker;
            }
        }
    }
    return std::nullopt;
}

std::optional<WorkerId>
FitIndex::findInGrid(const Grid &grid, const Resources &need, std::span<const WorkerId> avoid) const
{
    const int lowestRow = level(need.milliCpu, largest_.milliCpu);
    const int lowestColumn = level(need.memoryMib, largest_.memoryMib);
    const std::uint64_t columns = ~std::uint64_t{0} << lowestColumn;
    Best best;
    for (int row = lowestRow; row < Levels; ++row) {
        const std::uint64_t candidates = grid.rows[row] & columns;
        if (candidates == 0) {
            continue;
        }
        if (best.worker != None && row - lowestRow >= best.score) {
            break;
        }
        int column = 0;
        const WorkerId worker = findInRow(grid, row, candidates, need, avoid, column);
        if (worker == None) {
            continue;
        }
        const int score = (row - lowestRow) + (column - lowestColumn);
        if (best.worker == None || score < best.score) {
            best = {worker, score};
        }
    }
    return best.worker == None ? std::nullopt : std::optional(best.worker);
}

WorkerId FitIndex::findInRow(const Grid &grid,
                             int row,
                             std::uint64_t columns,
                             const Resources &need,
                             std::span<const WorkerId> avoid,
                             int &column) const
{
    while (columns != 0) {
        column = std::countr_zero(columns);
        const WorkerId worker = firstThatFits(grid.heads[row][column], need, avoid);
        if (worker != None) {
            return worker;
        }
        columns &= columns - 1;
    }
    return None;
}

WorkerId FitIndex::firstThatFits(std::uint32_t head, const Resources &need, std::span<const WorkerId> avoid) const
{
    int scanned = 0;
    for (std::uint32_t worker = head; worker != None && scanned < MaxCellScan;
         worker = entries_[worker].next, ++scanned) {
        const bool allowed = std::find(avoid.begin(), avoid.end(), worker) == avoid.end();
        if (allowed && need.fitsIn(entries_[worker].free)) {
            return worker;
        }
    }
    return None;
}

} // namespace yuccawheel::placement
