// Fuzzes the parser of operators' documents. A text is refused with a list of problems, or parsed into a document whose
// canonical form parses to the same document.

#include "fuzz/target.h"
#include "settings/document.h"

#include <string>

using namespace yuccawheel;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto document = settings::parseDocument(std::string(fuzz::view(data, size)), "input");
    if (!document) {
        fuzz::require(!document.error().empty());
        return 0;
    }
    const std::string canonical = settings::formatDocument(*document);
    const auto again = settings::parseDocument(canonical, "canonical");
    fuzz::require(again.has_value() && settings::formatDocument(*again) == canonical);
    return 0;
}
