#pragma once

#include "routing/key_store.h"
#include "store/store_client.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace yuccawheel::entry
{

/// A key chosen by a caller: the time of its first use and a unique id.
struct CallerKey {
    std::chrono::milliseconds issuedAt{0}; ///< Since the Unix epoch.
    std::string uniqueId;
};

/// Parses `SECONDS-NAME`; returns nullopt for any other format. The time allows the log to drop old keys without ever
/// mistaking a dropped key for a new one.
std::optional<CallerKey> parseCallerKey(std::string_view key);

/// Stores callers' keys in the replicated log, which all entries of all zones share. Thread-safe.
class LogKeyStore : public routing::KeyStore
{
public:
    /// `store` is used on the thread that runs `io` only and must outlive all work posted to it.
    LogKeyStore(boost::asio::io_context &io, store::StoreClient &store);

    void reserve(const routing::KeyReservation &reservation, Reply reply) override;
    void finish(const routing::KeyOutcome &outcome) override;

private:
    boost::asio::io_context &io_;
    store::StoreClient &store_;
};

} // namespace yuccawheel::entry
