#include "placement/work_queue.h"

#include "base/invariant.h"

#include <algorithm>

namespace yuccawheel::placement
{

std::size_t WorkQueue::ShapeHash::operator()(const ShapeKey &key) const noexcept
{
    auto hash = static_cast<std::uint64_t>(key.size.milliCpu) * 0x9e3779b97f4a7c15ULL;
    hash ^= static_cast<std::uint64_t>(key.size.memoryMib) * 0xc2b2ae3d27d4eb4fULL;
    hash ^= static_cast<std::uint64_t>(key.size.accelerators) * 0x165667b19e3779f9ULL;
    return static_cast<std::size_t>((hash ^ (hash >> 29U)) + key.owner);
}

void WorkQueue::push(const Request &request)
{
    YW_INVARIANT(!contains(request.job), "a job must not be queued twice");
    if (request.job >= places_.size()) {
        places_.resize(request.job + 1);
    }
    const std::uint32_t shape = shapeFor({request.size, request.ownShape ? request.job : None});
    const std::uint32_t lane = laneFor(request.team, shape);
    unlinkLane(lane);
    lanes_[lane].jobs.emplace(request.rank, request.job);
    linkLane(lane);
    places_[request.job] = {lane, request.rank};
    ++size_;
    // A new first job of the shape may have rights that the previous one lacked, for example to preempt.
    const bool first = lanes_[lane].jobs.begin()->second == request.job && shapes_[shape].lanes.begin()->lane == lane;
    if (first && shapes_[shape].blocked) {
        unblock(static_cast<std::size_t>(std::find(blocked_.begin(), blocked_.end(), shape) - blocked_.begin()));
    }
}

void WorkQueue::erase(JobHandle job)
{
    if (!contains(job)) {
        return;
    }
    const Place place = places_[job];
    places_[job].lane = None;
    --size_;
    unlinkLane(place.lane);
    lanes_[place.lane].jobs.erase({place.rank, job});
    if (lanes_[place.lane].jobs.empty()) {
        dropLane(place.lane);
    } else {
        linkLane(place.lane);
    }
}

std::optional<JobHandle> WorkQueue::front() const
{
    if (active_.empty()) {
        return std::nullopt;
    }
    return lanes_[active_.begin()->first.lane].jobs.begin()->second;
}

void WorkQueue::block(JobHandle job)
{
    const std::uint32_t shape = lanes_[places_[job].lane].shape;
    if (shapes_[shape].blocked) {
        return;
    }
    active_.erase({*shapes_[shape].lanes.begin(), shape});
    shapes_[shape].blocked = true;
    blocked_.push_back(shape);
}

void WorkQueue::unblockFitting(const Resources &free)
{
    for (std::size_t position = 0; position < blocked_.size();) {
        if (shapes_[blocked_[position]].size.fitsIn(free)) {
            unblock(position);
        } else {
            ++position;
        }
    }
}

void WorkQueue::unblockAll()
{
    while (!blocked_.empty()) {
        unblock(blocked_.size() - 1);
    }
}

void WorkQueue::unblock(std::size_t position)
{
    const std::uint32_t shape = blocked_[position];
    blocked_[position] = blocked_.back();
    blocked_.pop_back();
    shapes_[shape].blocked = false;
    active_.emplace(*shapes_[shape].lanes.begin(), shape);
}

void WorkQueue::setBand(TeamId team, std::uint8_t band)
{
    if (team >= teams_.size()) {
        teams_.resize(team + 1);
    }
    if (teams_[team].band == band) {
        return;
    }
    for (const std::uint32_t lane : teams_[team].lanes) {
        unlinkLane(lane);
    }
    teams_[team].band = band;
    for (const std::uint32_t lane : teams_[team].lanes) {
        linkLane(lane);
    }
}

std::uint32_t WorkQueue::shapeFor(const ShapeKey &key)
{
    const auto [found, isNew] = shapeIds_.try_emplace(key, 0);
    if (!isNew) {
        return found->second;
    }
    if (freeShapes_.empty()) {
        freeShapes_.push_back(static_cast<std::uint32_t>(shapes_.size()));
        shapes_.emplace_back();
    }
    found->second = freeShapes_.back();
    freeShapes_.pop_back();
    shapes_[found->second] = Shape{key.size, key.owner, false, {}};
    return found->second;
}

std::uint32_t WorkQueue::laneFor(TeamId team, std::uint32_t shape)
{
    if (team >= teams_.size()) {
        teams_.resize(team + 1);
    }
    for (const std::uint32_t lane : teams_[team].lanes) {
        if (lanes_[lane].shape == shape) {
            return lane;
        }
    }
    if (freeLanes_.empty()) {
        freeLanes_.push_back(static_cast<std::uint32_t>(lanes_.size()));
        lanes_.emplace_back();
    }
    const std::uint32_t lane = freeLanes_.back();
    freeLanes_.pop_back();
    lanes_[lane].team = team;
    lanes_[lane].shape = shape;
    teams_[team].lanes.push_back(lane);
    return lane;
}

WorkQueue::LaneKey WorkQueue::keyOf(std::uint32_t lane) const
{
    const QueueRank &rank = lanes_[lane].jobs.begin()->first;
    return {rank.nonUrgent, teams_[lanes_[lane].team].band, rank, lane};
}

// Removes a lane from its shape's ordered set before the lane's key changes. An empty lane is not in the set.
void WorkQueue::unlinkLane(std::uint32_t lane)
{
    if (lanes_[lane].jobs.empty()) {
        return;
    }
    const std::uint32_t shape = lanes_[lane].shape;
    Shape &owner = shapes_[shape];
    const LaneKey key = keyOf(lane);
    const bool first = *owner.lanes.begin() == key;
    if (first && !owner.blocked) {
        active_.erase({key, shape});
    }
    owner.lanes.erase(key);
    if (first && !owner.blocked && !owner.lanes.empty()) {
        active_.emplace(*owner.lanes.begin(), shape);
    }
}

void WorkQueue::linkLane(std::uint32_t lane)
{
    const std::uint32_t shape = lanes_[lane].shape;
    Shape &owner = shapes_[shape];
    const LaneKey key = keyOf(lane);
    const bool first = owner.lanes.empty() || key < *owner.lanes.begin();
    if (first && !owner.blocked) {
        if (!owner.lanes.empty()) {
            active_.erase({*owner.lanes.begin(), shape});
        }
        active_.emplace(key, shape);
    }
    owner.lanes.insert(key);
}

// Frees an unlinked lane without jobs, and its shape if that was the shape's last lane.
void WorkQueue::dropLane(std::uint32_t lane)
{
    const std::uint32_t shape = lanes_[lane].shape;
    std::vector<std::uint32_t> &lanes = teams_[lanes_[lane].team].lanes;
    lanes.erase(std::find(lanes.begin(), lanes.end(), lane));
    lanes_[lane].shape = None;
    freeLanes_.push_back(lane);
    if (!shapes_[shape].lanes.empty()) {
        return;
    }
    if (shapes_[shape].blocked) {
        blocked_.erase(std::find(blocked_.begin(), blocked_.end(), shape));
    }
    shapeIds_.erase({shapes_[shape].size, shapes_[shape].owner});
    freeShapes_.push_back(shape);
}

} // namespace yuccawheel::placement
