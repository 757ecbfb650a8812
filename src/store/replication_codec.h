#pragma once

#include "coordination/message.h"
#include "protocol/codec.h"
#include "protocol/frame.h"

#include <string>
#include <string_view>

namespace yuccawheel::store
{

/// Encodes a message between replicas of the log for the inner protocol.
std::string encodeReplication(const coordination::Message &message);
tl::expected<coordination::Message, protocol::DecodeError> decodeReplication(std::string_view bytes);

} // namespace yuccawheel::store
