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

/// A key that a caller chose: the time of its first use, and a name.
struct CallerKey {
    std::chrono::milliseconds issued{0}; ///< Since the Unix epoch.
    std::string unique;
};

/// Parses `SECONDS-NAME`; nothing for any other key. The time lets the log forget old keys without ever taking one
/// that it has forgotten for a new one.
std::optional<CallerKey> parseCallerKey(std::string_view key);

/// Keeps the keys that callers chose in the agreed log, where every entry of every zone looks.
/// Any thread may call it.
class LogKeyStore : public routing::KeyStore
{
public:
    /// `store` belongs to the thread that runs `io`, and must outlive its work.
    LogKeyStore(boost::asio::io_context &io, store::StoreClient &store);

    void reserve(const routing::KeyReservation &reservation, Reply reply) override;
    void finish(const routing::KeyOutcome &outcome) override;

private:
    boost::asio::io_context &io_;
    store::StoreClient &store_;
};

} // namespace yuccawheel::entry
