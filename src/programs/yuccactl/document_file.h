#pragma once

#include "programs/yuccactl/entry_client.h"
#include "settings/document.h"

#include <string>

namespace yuccawheel::programs::yuccactl
{

/// A parsed document and its text, read from a file or standard input.
struct DocumentFile {
    std::string name; ///< `-` for standard input.
    std::string text;
    settings::Document document;
};

/// Reads and validates a document; `-` reads standard input. The failure lists every problem.
tl::expected<DocumentFile, Failure> readDocumentFile(const std::string &name);

} // namespace yuccawheel::programs::yuccactl
