#include "store/replication_codec.h"

YW_MSGPACK_ENUM(yuccawheel::coordination::EntryKind, yuccawheel::coordination::EntryKind::TermStart)

YW_MSGPACK_STRUCT(yuccawheel::coordination::ReplicaId,
                  2,
                  (put(value.node), put(value.generation)),
                  (take(value.node), take(value.generation)))
YW_MSGPACK_STRUCT(yuccawheel::coordination::Entry,
                  4,
                  (put(value.index), put(value.term), put(value.kind), put(value.data)),
                  (take(value.index), take(value.term), take(value.kind), take(value.data)))
YW_MSGPACK_STRUCT(yuccawheel::coordination::Member,
                  2,
                  (put(value.id), put(value.voter)),
                  (take(value.id), take(value.voter)))
YW_MSGPACK_STRUCT(yuccawheel::coordination::ReplicaSet, 1, (put(value.members)), (take(value.members)))
YW_MSGPACK_STRUCT(yuccawheel::coordination::SnapshotMeta,
                  5,
                  (put(value.index), put(value.term), put(value.replicas), put(value.size), put(value.checksum)),
                  (take(value.index), take(value.term), take(value.replicas), take(value.size), take(value.checksum)))
YW_MSGPACK_STRUCT(yuccawheel::coordination::VoteRequest,
                  4,
                  (put(value.preVote), put(value.lastIndex), put(value.lastTerm), put(value.handover)),
                  (take(value.preVote), take(value.lastIndex), take(value.lastTerm), take(value.handover)))
YW_MSGPACK_STRUCT(yuccawheel::coordination::VoteResponse,
                  2,
                  (put(value.preVote), put(value.granted)),
                  (take(value.preVote), take(value.granted)))
YW_MSGPACK_STRUCT(
    yuccawheel::coordination::AppendRequest,
    5,
    (put(value.previousIndex), put(value.previousTerm), put(value.committed), put(value.round), put(value.entries)),
    (take(value.previousIndex),
     take(value.previousTerm),
     take(value.committed),
     take(value.round),
     take(value.entries)))
YW_MSGPACK_STRUCT(yuccawheel::coordination::AppendResponse,
                  4,
                  (put(value.accepted), put(value.matched), put(value.previousIndex), put(value.round)),
                  (take(value.accepted), take(value.matched), take(value.previousIndex), take(value.round)))
YW_MSGPACK_STRUCT(yuccawheel::coordination::SnapshotChunk,
                  4,
                  (put(value.meta), put(value.offset), put(value.round), put(value.bytes)),
                  (take(value.meta), take(value.offset), take(value.round), take(value.bytes)))
YW_MSGPACK_STRUCT(yuccawheel::coordination::SnapshotChunkResponse,
                  4,
                  (put(value.snapshotIndex), put(value.received), put(value.installed), put(value.round)),
                  (take(value.snapshotIndex), take(value.received), take(value.installed), take(value.round)))

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {
    template <>
    struct convert<yuccawheel::coordination::JoinRequest> {
        const msgpack::object &operator()(const msgpack::object &object,
                                          yuccawheel::coordination::JoinRequest & /*value*/) const
        {
            return object;
        }
    };
    template <>
    struct pack<yuccawheel::coordination::JoinRequest> {
        template <typename Stream>
        packer<Stream> &operator()(packer<Stream> &packer,
                                   const yuccawheel::coordination::JoinRequest & /*value*/) const
        {
            return packer.pack_nil();
        }
    };
    template <>
    struct convert<yuccawheel::coordination::HandoverRequest> {
        const msgpack::object &operator()(const msgpack::object &object,
                                          yuccawheel::coordination::HandoverRequest & /*value*/) const
        {
            return object;
        }
    };
    template <>
    struct pack<yuccawheel::coordination::HandoverRequest> {
        template <typename Stream>
        packer<Stream> &operator()(packer<Stream> &packer,
                                   const yuccawheel::coordination::HandoverRequest & /*value*/) const
        {
            return packer.pack_nil();
        }
    };
    } // namespace adaptor
}
} // namespace msgpack

namespace yuccawheel::store
{

namespace
{

using coordination::MessageBody;

template <std::size_t Alternative = 0>
MessageBody unpackBody(std::size_t alternative, const msgpack::object &object)
{
    if constexpr (Alternative == std::variant_size_v<MessageBody>) {
        throw msgpack::type_error();
    } else {
        if (alternative == Alternative) {
            return object.as<std::variant_alternative_t<Alternative, MessageBody>>();
        }
        return unpackBody<Alternative + 1>(alternative, object);
    }
}

/// Wire form of a message. The kind of the body is its index in the variant.
struct Envelope {
    coordination::Message message;

    template <typename Packer>
    void msgpack_pack(Packer &packer) const
    {
        packer.pack_array(6);
        packer.pack(message.cluster);
        packer.pack(message.from);
        packer.pack(message.to);
        packer.pack(message.term);
        packer.pack(static_cast<std::uint64_t>(message.body.index()));
        std::visit([&packer](const auto &body) { packer.pack(body); }, message.body);
    }

    void msgpack_unpack(const msgpack::object &object)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size != 6) {
            throw msgpack::type_error();
        }
        const msgpack::object *field = object.via.array.ptr;
        field[0].convert(message.cluster);
        field[1].convert(message.from);
        field[2].convert(message.to);
        field[3].convert(message.term);
        message.body = unpackBody(field[4].as<std::size_t>(), field[5]);
    }
};

} // namespace

std::string encodeReplication(const coordination::Message &message)
{
    return protocol::encode(Envelope{message});
}

tl::expected<coordination::Message, protocol::DecodeError> decodeReplication(std::string_view bytes)
{
    return protocol::decode<Envelope>(bytes).map([](Envelope envelope) { return std::move(envelope.message); });
}

} // namespace yuccawheel::store
