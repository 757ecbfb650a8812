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

using JobHandle = std::uint32_t; ///< Index of a job in the JobTable.
using TeamId = std::uint32_t;

/// Queue order of a job among the jobs of its team and size; lower goes first.
struct QueueRank {
    bool nonUrgent = true; ///< False sorts first.
    std::int64_t time = 0; ///< Due start time in nanoseconds.
    std::uint32_t sequence = 0;

    auto operator<=>(const QueueRank &) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

/// Jobs that have tasks to start, ordered by urgency, the quota band of the team, and rank.
/// Jobs of one task size share a shape. When one of them finds no room, the shape is blocked: all of its jobs wait
/// until a worker has room for that size.
class WorkQueue
{
public:
    struct Request {
        JobHandle job = 0;
        TeamId team = 0;
        Resources size; ///< Size of one task.
        bool ownShape = false; ///< The job doesn't share its shape, because it is a gang.
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
    /// Blocks the shape of a job until it is unblocked by unblockFitting(), unblockAll() or a new first job.
    void block(JobHandle job);
    /// Unblocks the shapes whose task size fits in `free`.
    void unblockFitting(const Resources &free);
    void unblockAll();
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
        bool nonUrgent = true;
        std::uint8_t band = 0;
        QueueRank rank;
        std::uint32_t lane = None;

        auto operator<=>(const LaneKey &) const = default; // NOLINT(modernize-use-nullptr): false alarm
    };
    struct Shape {
        Resources size;
        JobHandle owner = None; ///< The only job of the shape, if it is not shared.
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
    void unlinkLane(std::uint32_t lane);
    void linkLane(std::uint32_t lane);
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
