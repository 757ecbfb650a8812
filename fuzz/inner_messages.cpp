// Fuzzes the decoders of messages between the system's processes. The first byte selects the message type. The rest is
// refused or decoded, and a decoded message can be encoded and decoded again.

#include "fuzz/target.h"
#include "protocol/messages.h"
#include "protocol/routing_messages.h"
#include "store/replication_codec.h"

#include <array>
#include <string_view>

using namespace yuccawheel;
using namespace yuccawheel::protocol;

namespace
{

template <typename Message>
void decodeMessage(std::string_view bytes)
{
    const auto message = decode<Message>(bytes);
    if (message) {
        const std::string encoded = encode(*message);
        const auto again = decode<Message>(encoded);
        fuzz::require(again.has_value() && encode(*again) == encoded);
    }
}

void decodeReplicationMessage(std::string_view bytes)
{
    const auto message = store::decodeReplication(bytes);
    fuzz::require(!message || store::decodeReplication(store::encodeReplication(*message)).has_value());
}

constexpr std::array Decoders{decodeMessage<Hello>,
                              decodeMessage<HelloReply>,
                              decodeMessage<Submit>,
                              decodeMessage<SubmitReply>,
                              decodeMessage<CancelJob>,
                              decodeMessage<AcquireZone>,
                              decodeMessage<AcquireZoneReply>,
                              decodeMessage<RenewZone>,
                              decodeMessage<RenewZoneReply>,
                              decodeMessage<StateUpdate>,
                              decodeMessage<Query>,
                              decodeMessage<ReserveKey>,
                              decodeMessage<FinishKey>,
                              decodeMessage<UpstreamUpdates>,
                              decodeMessage<ShareNotice>,
                              decodeMessage<KeyNotice>,
                              decodeReplicationMessage};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size != 0) {
        Decoders[data[0] % Decoders.size()](fuzz::view(data + 1, size - 1));
    }
    return 0;
}
