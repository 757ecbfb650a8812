#pragma once

#include "placement/resources.h"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace yuccawheel::placement
{

using JobHandle = std::uint32_t; ///< Position of a job in the planner's table.
using TeamId = std::uint32_t;

/// Order of a job among those of its team and size; lower goes first.
struct QueueRank {
    bool ordinary = true; ///< Urgent jobs go first.
    std::int64_t time = 0; ///< Nanoseconds by which it should have started.
    std::uint32_t sequence = 0;

    auto operator<=>(const QueueRank &) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

/// Jobs that have tasks to start, ordered by urgency, the band of the team's use against its quota, and rank.
/// Jobs of one size share a shape: when one of them finds no room, all of them wait until a worker has room again.
class WorkQueue
{
public:
    struct Request {
        JobHandle job = 0;
        TeamId team = 0;
        Resources size; ///< Of one task.
        bool alone = false; ///< The job needs a shape of its own, as a gang does.
        QueueRank rank;
    };

    void push(const Request &request);
    void erase(JobHandle job);
    bool contains(JobHandle job) const
    {
        return job < places_.size() && places_[job].lane != None;
    }
    /// Returns the first job whose shape is not blocked.
    std::optional<JobHandle> front() const;
    /// Blocks the shape of a job until `wake` is called with room for it.
    void block(JobHandle job);
    /// Unblocks the shapes of which one task fits in `free`.
    void wake(const Resources &free);
    void wakeAll();
    /// Sets the band of a team; lower bands go first.
    void setBand(TeamId team, std::uint8_t band);
    std::size_t size() const
    {
        return size_;
    }

private:
    static constexpr std::uint32_t None = 0xffffffff;

    /// Jobs of one team and one shape.
    struct Lane {
        TeamId team = 0;
        std::uint32_t shape = None;
        std::set<std::pair<QueueRank, JobHandle>> jobs;
    };
    struct LaneKey {
        bool ordinary = true;
        std::uint8_t band = 0;
        QueueRank rank;
        std::uint32_t lane = None;

        auto operator<=>(const LaneKey &) const = default; // NOLINT(modernize-use-nullptr): false alarm
    };
    struct Shape {
        Resources size;
        JobHandle owner = None; ///< The one job of a shape that is not shared.
        bool blocked = false;
        std::set<LaneKey> lanes;
    };
    struct ShapeKey {
        Resources size;
        JobHandle owner = None;

        bool operator==(const ShapeKey &) const = default;
    };
    struct ShapeHash {
        std::size_t operator()(const ShapeKey &key) const noexcept;
    };
    struct Team {
        std::uint8_t band = 0;
        std::vector<std::uint32_t> lanes;
    };
    struct Place {
        std::uint32_t lane = None;
        QueueRank rank;
    };

    std::uint32_t shapeFor(const ShapeKey &key);
    std::uint32_t laneFor(TeamId team, std::uint32_t shape);
    LaneKey keyOf(std::uint32_t lane) const;
    void detach(std::uint32_t lane);
    void attach(std::uint32_t lane);
    void dropLane(std::uint32_t lane);
    void unblock(std::size_t position);

    std::vector<Place> places_;
    std::vector<Team> teams_;
    std::vector<Lane> lanes_;
    std::vector<std::uint32_t> freeLanes_;
    std::vector<Shape> shapes_;
    std::vector<std::uint32_t> freeShapes_;
    std::unordered_map<ShapeKey, std::uint32_t, ShapeHash> shapeIds_;
    std::set<std::pair<LaneKey, std::uint32_t>> active_; ///< First lane of each shape that is not blocked.
    std::vector<std::uint32_t> blocked_;
    std::size_t size_ = 0;
};

} // namespace yuccawheel::placement
