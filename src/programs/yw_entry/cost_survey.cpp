#include "cost_survey.h"

#include "daemon/cost.h"
#include "protocol/messages.h"
#include "protocol/peer.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>

namespace yuccawheel::entry
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds SurveyTimeout{2'000};
constexpr std::int64_t MsPerSecond = 1'000;
constexpr double Percent = 100;

/// Converts a daemon's totals since its start into averages.
json toAverages(const json &cost)
{
    const std::int64_t upMs = std::max<std::int64_t>(cost.at("up_ms").get<std::int64_t>(), 1);
    const auto perSecond = [&](const char *key) {
        return cost.at(key).get<std::int64_t>() * MsPerSecond / upMs;
    };
    const double percent = Percent * cost.at("cpu_ms").get<double>() / static_cast<double>(upMs);
    return {{"node", cost.at("node")},
            {"role", cost.at("role")},
            {"zone", cost.at("zone")},
            {"up_ms", upMs / MsPerSecond * MsPerSecond},
            {"cpu_percent", std::round(percent * Percent) / Percent},
            {"resident_kib", cost.at("resident_kib")},
            {"sent_bytes_per_s", perSecond("sent_bytes")},
            {"received_bytes_per_s", perSecond("received_bytes")}};
}

/// One survey. Its timer keeps it alive until the last answer or the timeout.
class CostSurvey : public std::enable_shared_from_this<CostSurvey>
{
public:
    CostSurvey(daemon::Context &context, std::function<void(const json &)> done)
        : context_(context)
        , done_(std::move(done))
        , timer_(context.io)
    {
    }

    void start()
    {
        rows_["entry/" + context_.self.node] = toAverages(json::parse(daemon::costJson(context_.self)));
        timer_.expires_after(SurveyTimeout);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code & /*error*/) { self->finish(); });
        queryRole("entry", context_.settings.entries);
        queryRole("scheduler", context_.settings.schedulers);
        queryRole("store", context_.settings.stores);
        finishIfComplete();
    }

private:
    void queryRole(const std::string &role, const std::vector<settings::Peer> &peers)
    {
        for (const settings::Peer &peer : peers) {
            const std::string key = role + "/" + peer.node;
            if (!rows_.try_emplace(key, json{{"node", peer.node}, {"role", role}, {"silent", true}}).second) {
                continue;
            }
            ++pendingAnswers_;
            protocol::Peer::Callbacks callbacks;
            callbacks.opened = [weak = weak_from_this(), key](const protocol::ChannelPtr & /*channel*/) {
                if (const auto self = weak.lock()) {
                    self->sendQuery(key);
                }
            };
            peers_[key] = std::make_unique<protocol::Peer>(
                context_.io, daemon::toAsio(peer.address), context_.members, std::move(callbacks));
        }
    }

    void sendQuery(const std::string &key)
    {
        const auto peer = peers_.find(key);
        if (peer == peers_.end()) {
            return;
        }
        peer->second->request(protocol::Query{protocol::QueryKind::ResourceUsage, {}},
                              SurveyTimeout,
                              [weak = weak_from_this(), key](const auto &answer) {
                                  const auto self = weak.lock();
                                  if (self && answer && self->rows_.at(key).contains("silent")) {
                                      self->rows_.at(key) = toAverages(json::parse(answer->json));
                                      --self->pendingAnswers_;
                                      self->finishIfComplete();
                                  }
                              });
    }

    // Cancelling the timer runs finish() outside the connections' callbacks, where the connections can be closed.
    void finishIfComplete()
    {
        if (pendingAnswers_ == 0) {
            timer_.cancel();
        }
    }

    void finish()
    {
        peers_.clear();
        json list = json::array();
        for (auto &[key, row] : rows_) {
            list.push_back(std::move(row));
        }
        done_(list);
    }

    daemon::Context &context_;
    std::function<void(const json &)> done_;
    boost::asio::steady_timer timer_;
    std::map<std::string, json> rows_; ///< By "role/node".
    std::map<std::string, std::unique_ptr<protocol::Peer>> peers_;
    std::size_t pendingAnswers_ = 0;
};

} // namespace

void surveyCosts(daemon::Context &context, std::function<void(const json &)> done)
{
    std::make_shared<CostSurvey>(context, std::move(done))->start();
}

} // namespace yuccawheel::entry
