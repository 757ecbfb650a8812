// Messages between the system's processes: whatever bytes come, they are read or refused, and what was read can be
// written and read again. The first byte chooses the message.

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
void readMessage(std::string_view bytes)
{
    const auto message = decode<Message>(bytes);
    if (message) {
        const std::string written = encode(*message);
        const auto again = decode<Message>(written);
        fuzz::require(again.has_value() && encode(*again) == written);
    }
}

void readReplication(std::string_view bytes)
{
    const auto message = store::decodeReplication(bytes);
    fuzz::require(!message || store::decodeReplication(store::encodeReplication(*message)).has_value());
}

constexpr std::array Readers{readMessage<Hello>,
                             readMessage<HelloReply>,
                             readMessage<Submit>,
                             readMessage<SubmitReply>,
                             readMessage<CancelJob>,
                             readMessage<AcquireZone>,
                             readMessage<AcquireZoneReply>,
                             readMessage<RenewZone>,
                             readMessage<RenewZoneReply>,
                             readMessage<StateUpdate>,
                             readMessage<Query>,
                             readMessage<ReserveKey>,
                             readMessage<FinishKey>,
                             readMessage<UpstreamUpdates>,
                             readMessage<ShareNotice>,
                             readMessage<KeyNotice>,
                             readReplication};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size != 0) {
        Readers[data[0] % Readers.size()](fuzz::view(data + 1, size - 1));
    }
    return 0;
}
