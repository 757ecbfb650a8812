// Fuzzes the parser of upstream announcements. A text is refused with a message, or parsed into an announcement that
// can be formatted and parsed again.

#include "fuzz/target.h"
#include "routing/announcement.h"

using namespace yuccawheel;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto announcement = routing::parseAnnouncement(fuzz::view(data, size));
    if (!announcement) {
        fuzz::require(!announcement.error().message.empty());
        return 0;
    }
    const std::string text = routing::formatAnnouncement(*announcement);
    const auto again = routing::parseAnnouncement(text);
    fuzz::require(again.has_value() && routing::formatAnnouncement(*again) == text);
    return 0;
}
