#include "entry_service.h"

#include "base/log.h"
#include "daemon/json_api.h"
#include "routing/announcement.h"

#include <boost/asio/post.hpp>

#include <stdexcept>

namespace yuccawheel::entry
{

namespace
{

constexpr std::chrono::milliseconds KeyTickInterval{100};

http::ProxyOptions proxyOptions(const daemon::Context &context)
{
    http::ProxyOptions options;
    options.address = context.settings.listen.caller->ip;
    options.port = context.settings.listen.caller->port;
    options.timeouts.defaultTimeout = context.settings.requestTimeout;
    options.router.entry = context.self.node;
    options.router.zone = context.self.zone;
    options.router.incarnation = context.self.incarnation;
    options.router.seed = context.self.incarnation;
    for (const settings::Peer &peer : context.settings.entries) {
        options.router.entries.push_back({peer.node, peer.zone});
    }
    return options;
}

routing::ZoneKeysOptions keyOptions(const daemon::Context &context)
{
    routing::ZoneKeysOptions options;
    options.entry = context.self.node;
    options.zone = context.self.zone;
    options.incarnation = context.self.incarnation;
    for (const settings::Peer &peer : context.settings.entries) {
        options.entries.push_back({peer.node, peer.zone});
    }
    return options;
}

nlohmann::json upstreamJson(const routing::UpstreamUpdate &upstream)
{
    const routing::UpstreamAnnouncement &info = upstream.announcement;
    const bool leaving = info.state == routing::UpstreamState::Leaving;
    const bool silent = upstream.age > routing::UpstreamTableOptions().silenceTimeout;
    return {{"executor", info.executor},
            {"zone", upstream.zone},
            {"address", info.address},
            {"state",
             leaving      ? "leaving"
                 : silent ? "silent"
                          : "serving"},
            {"slots", info.slots},
            {"connections", info.connections},
            {"services", info.services}};
}

http::Response announceResponse(const tl::expected<void, routing::UpstreamTableError> &result,
                                std::chrono::milliseconds heartbeat)
{
    if (result) {
        return daemon::jsonResponse(200, {{"heartbeat_ms", heartbeat.count()}});
    }
    switch (result.error()) {
    case routing::UpstreamTableError::StaleIncarnation:
        return daemon::errorResponse(409, "stale_incarnation", "the upstream has announced a later incarnation");
    case routing::UpstreamTableError::TooManyUpstreams:
        return daemon::errorResponse(503, "too_many_upstreams", "this entry's upstream table is full");
    case routing::UpstreamTableError::TooManyServices:
        return daemon::errorResponse(503, "too_many_services", "this entry's service table is full");
    }
    return daemon::errorResponse(500, "internal", "unknown error");
}

} // namespace

EntryService::EntryService(daemon::Context &context)
    : context_(context)
    , alive_(std::make_shared<EntryService *>(this))
    , store_(context.io,
             daemon::addressesOf(context.settings.stores),
             context.members,
             [this](const protocol::StateUpdate &update) { configuration_.onStoreUpdate(update); })
    , configuration_(context,
                     [this](const protocol::Configuration &configuration) {
                         store_.acknowledgeConfiguration(configuration.version);
                     })
    , keys_(std::make_shared<routing::ZoneKeyStore>(
          keyOptions(context),
          std::make_shared<LogKeyStore>(context.io, store_),
          [this](std::vector<routing::KeyMessage> messages) { sendKeyMessages(std::move(messages)); }))
    , proxy_(proxyOptions(context), keys_)
    , peers_(context, proxy_, *keys_, configuration_)
    , timer_(context.io)
{
    const auto port = proxy_.start();
    if (!port) {
        throw std::runtime_error(port.error());
    }
    base::logInfo("listening").with("on", "caller").with("port", *port);
    if (context.settings.listen.operators) {
        operators_.emplace(context, store_, [this](const http::Responder &respond) { listUpstreams(respond); });
    }
    upstreamServer_.emplace(
        context.io,
        daemon::toAsio(*context.settings.listen.upstream),
        http::ServerOptions{},
        [this](const http::Request &request, const http::Responder &respond) { handleUpstream(request, respond); });
    base::logInfo("listening").with("on", "upstream").with("port", upstreamServer_->address().port());
    onTick();
}

EntryService::~EntryService()
{
    *alive_ = nullptr;
}

void EntryService::sendKeyMessages(std::vector<routing::KeyMessage> messages)
{
    boost::asio::post(context_.io, [this, alive = alive_, messages = std::move(messages)] {
        if (*alive != nullptr) {
            peers_.sendKeyMessages(messages);
        }
    });
}

void EntryService::onTick()
{
    keys_->tick();
    timer_.expires_after(KeyTickInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            onTick();
        }
    });
}

std::optional<std::string> EntryService::notReadyReason() const
{
    if (!proxy_.isReady()) {
        return "the proxy is not ready for callers' requests";
    }
    return configuration_.notReadyReason();
}

void EntryService::drain(std::function<void()> done)
{
    proxy_.drain(context_.settings.drainDelay,
                 daemon::answerLimit(context_.settings),
                 [this, done = std::move(done)](const http::DrainReport &report) {
                     boost::asio::post(context_.io, [done, cut = report.cutRequests] {
                         if (cut > 0) {
                             base::logWarning("requests_cut_off").with("count", cut);
                         }
                         done();
                     });
                 });
}

std::size_t EntryService::inProgress() const
{
    return proxy_.statistics().active;
}

// The proxy's thread owns the upstream table; the response is sent on the network thread.
void EntryService::handleUpstream(const http::Request &request, const http::Responder &respond)
{
    if (request.path != "/v1/upstreams" || request.method != "POST") {
        respond(daemon::errorResponse(404, "not_found", "unknown path or method; expected POST /v1/upstreams"));
        return;
    }
    auto announcement = routing::parseAnnouncement(request.body);
    if (!announcement) {
        respond(daemon::errorResponse(400, "bad_request", announcement.error().message));
        return;
    }
    proxy_.applyHeartbeat(std::move(*announcement),
                          [this, respond](const tl::expected<void, routing::UpstreamTableError> &result) {
                              boost::asio::post(context_.io, [this, respond, result] {
                                  respond(announceResponse(result, context_.settings.heartbeat));
                              });
                          });
}

void EntryService::listUpstreams(const http::Responder &respond)
{
    proxy_.listUpstreams([this, respond](const std::vector<routing::UpstreamUpdate> &upstreams) {
        nlohmann::json list = nlohmann::json::array();
        for (const routing::UpstreamUpdate &upstream : upstreams) {
            list.push_back(upstreamJson(upstream));
        }
        boost::asio::post(context_.io, [respond, list = std::move(list)] {
            respond(daemon::jsonResponse(200, {{"upstreams", list}}));
        });
    });
}

} // namespace yuccawheel::entry
