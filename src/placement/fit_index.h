#pragma once

#include "placement/events.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace yuccawheel::placement
{

/// Preference class of a worker; placement prefers lower values.
enum class Occupancy : std::uint8_t {
    Busy, ///< Runs tasks.
    IdleInBusyRack,
    IdleRack, ///< No worker of its rack runs anything.
    Evacuating, ///< Being evacuated by the consolidator.
};

/// Best-fit index: finds a worker with little capacity left over, without scanning all workers.
/// Workers are bucketed in a grid by quantized free CPU (rows) and memory (columns), with one grid for each occupancy
/// and number of free accelerators.
class FitIndex
{
public:
    /// Raises the largest worker capacity, which scales the levels, and rebuckets the workers in the index.
    void setLargestCapacity(const Resources &largest);

    /// Inserts a worker, or moves it to the cell of its free amount.
    void update(WorkerId worker, const Resources &free, Occupancy occupancy);
    void remove(WorkerId worker);
    bool contains(WorkerId worker) const
    {
        return worker < entries_.size() && entries_[worker].grid != NoGrid;
    }

    /// Finds a worker with room for `need` that is not in `avoid`.
    std::optional<WorkerId> find(const Resources &need, std::span<const WorkerId> avoid = {}) const;

private:
    static constexpr int Levels = 64;
    static constexpr int AcceleratorLevels = 9;
    static constexpr int Occupancies = 4;
    static constexpr std::uint32_t None = 0xffffffff;
    static constexpr std::uint8_t NoGrid = 0xff;
    static constexpr int MaxCellScan = 128; ///< Workers examined in one cell; bounds the cost.

    struct Grid {
        std::array<std::uint64_t, Levels> rows{}; ///< One bit for each non-empty cell.
        std::array<std::array<std::uint32_t, Levels>, Levels> heads{};
        std::uint32_t size = 0;
    };
    struct Entry {
        Resources free;
        std::uint32_t next = None;
        std::uint32_t previous = None;
        std::uint8_t grid = NoGrid;
        std::uint8_t row = 0;
        std::uint8_t column = 0;
    };
    struct Best {
        WorkerId worker = None;
        int score = 0;
    };

    static int level(std::int64_t amount, std::int64_t largest);
    void unlink(WorkerId worker);
    void link(WorkerId worker, std::uint8_t grid, std::uint8_t row, std::uint8_t column);
    WorkerId firstThatFits(std::uint32_t head, const Resources &need, std::span<const WorkerId> avoid) const;
    std::optional<WorkerId> findInGrid(const Grid &grid, const Resources &need, std::span<const WorkerId> avoid) const;
    WorkerId findInRow(const Grid &grid,
                       int row,
                       std::uint64_t columns,
                       const Resources &need,
                       std::span<const WorkerId> avoid,
                       int &column) const;

    Resources largest_{1, 1, 0};
    std::vector<Entry> entries_;
    std::array<std::unique_ptr<Grid>, static_cast<std::size_t>(Occupancies) * AcceleratorLevels> grids_;
};

} // namespace yuccawheel::placement
