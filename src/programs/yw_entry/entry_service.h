#pragma once

#include "daemon/daemon.h"
#include "daemon/zone_configuration.h"
#include "entry_peers.h"
#include "http/proxy_server.h"
#include "http/server.h"
#include "log_key_store.h"
#include "operator_api.h"
#include "routing/zone_key_store.h"
#include "store/store_client.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::entry
{

/// Entry process: proxies callers' requests to upstreams and serves the operators' interface. Exchanges routing state
/// with the other entries.
class EntryService : public daemon::Service
{
public:
    /// Throws std::runtime_error if the proxy can't start.
    explicit EntryService(daemon::Context &context);
    ~EntryService() override;

    std::optional<std::string> notReadyReason() const override;
    void drain(std::function<void()> done) override;
    std::size_t inProgress() const override;

private:
    void handleUpstream(const http::Request &request, const http::Responder &respond);
    void listUpstreams(const http::Responder &respond);

    void sendKeyMessages(std::vector<routing::KeyMessage> messages);
    void onTick();

    daemon::Context &context_;
    std::shared_ptr<EntryService *> alive_; ///< Holds null after destruction; checked by posted callbacks.
    store::StoreClient store_;
    daemon::ZoneConfiguration configuration_;
    std::shared_ptr<routing::ZoneKeyStore> keys_;
    http::ProxyServer proxy_;
    EntryPeers peers_;
    boost::asio::steady_timer timer_;
    std::optional<OperatorApi> operators_;
    std::optional<http::Server> upstreamServer_;
};

} // namespace yuccawheel::entry
