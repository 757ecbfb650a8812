#include "protocol/frame.h"

namespace yuccawheel::protocol
{

namespace
{

template <typename Integer>
void writeBigEndian(unsigned char *target, Integer value)
{
    for (std::size_t i = 0; i < sizeof(Integer); ++i) {
        target[i] = static_cast<unsigned char>(value >> (8 * (sizeof(Integer) - 1 - i)));
    }
}

template <typename Integer>
Integer readBigEndian(const unsigned char *source)
{
    Integer value = 0;
    for (std::size_t i = 0; i < sizeof(Integer); ++i) {
        value = static_cast<Integer>((value << 8U) | source[i]);
    }
    return value;
}

constexpr std::size_t TypeOffset = 4;
constexpr std::size_t KindOffset = 6;
constexpr std::size_t CorrelationOffset = 7;

} // namespace

FrameHeader encodeHeader(const Frame &frame)
{
    FrameHeader header{};
    writeBigEndian(header.data(), static_cast<std::uint32_t>(frame.payload.size()));
    writeBigEndian(header.data() + TypeOffset, static_cast<std::uint16_t>(frame.type));
    header[KindOffset] = static_cast<unsigned char>(frame.kind);
    writeBigEndian(header.data() + CorrelationOffset, frame.correlation);
    return header;
}

std::optional<DecodedHeader> decodeHeader(const FrameHeader &header)
{
    if (header[KindOffset] > static_cast<unsigned char>(FrameKind::Notice)) {
        return std::nullopt;
    }
    DecodedHeader decoded;
    decoded.payloadBytes = readBigEndian<std::uint32_t>(header.data());
    decoded.frame.type = static_cast<MessageType>(readBigEndian<std::uint16_t>(header.data() + TypeOffset));
    decoded.frame.kind = static_cast<FrameKind>(header[KindOffset]);
    decoded.frame.correlation = readBigEndian<std::uint64_t>(header.data() + CorrelationOffset);
    return decoded;
}

} // namespace yuccawheel::protocol
