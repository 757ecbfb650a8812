// Fuzzes the cluster state that replicas build from the log. The input holds log entries, each after its length in two
// bytes. A state restored from a snapshot before an entry must equal the original state after that entry. The whole
// input is also restored as a snapshot, which is accepted or refused.

#include "fuzz/target.h"
#include "store/cluster_state.h"
#include "store/log_entry.h"

#include <algorithm>
#include <string_view>

using namespace yuccawheel;
using namespace yuccawheel::store;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view rest = fuzz::view(data, size);
    static_cast<void>(ClusterState::restore(rest));
    ClusterState state;
    std::uint64_t index = 0;
    while (rest.size() > 2) {
        const std::size_t length = static_cast<unsigned char>(rest[0]) + 256U * static_cast<unsigned char>(rest[1]);
        rest.remove_prefix(2);
        const std::string_view bytes = rest.substr(0, std::min(length, rest.size()));
        rest.remove_prefix(bytes.size());
        const auto entry = decodeEntry(bytes);
        if (!entry) {
            continue;
        }
        auto restored = ClusterState::restore(state.snapshot());
        fuzz::require(restored.has_value());
        ++index;
        state.apply(index, *entry);
        restored->apply(index, *entry);
        fuzz::require(restored->snapshot() == state.snapshot());
    }
    return 0;
}
