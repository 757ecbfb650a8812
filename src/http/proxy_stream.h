#pragma once

#include "base/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace yuccawheel::http
{

using IoExecutor = boost::asio::io_context::executor_type;
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, IoExecutor>;
using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, IoExecutor>;
using Endpoint = boost::asio::ip::tcp::endpoint;

constexpr std::size_t ChunkBytes = std::size_t{16} * 1024;
using Chunk = std::array<char, ChunkBytes>;

/// Pool of buffers for bodies in transfer, so that idle connections hold no buffer.
class ChunkPool
{
public:
    std::unique_ptr<Chunk> acquire()
    {
        if (free_.empty()) {
            return std::unique_ptr<Chunk>(new Chunk); // Not zeroed, since it is written before it is read.
        }
        auto chunk = std::move(free_.back());
        free_.pop_back();
        return chunk;
    }
    void release(std::unique_ptr<Chunk> chunk)
    {
        if (chunk != nullptr && free_.size() < MaxFreeChunks) {
            free_.push_back(std::move(chunk));
        }
    }

private:
    static constexpr std::size_t MaxFreeChunks = 256;
    std::vector<std::unique_ptr<Chunk>> free_;
};

} // namespace yuccawheel::http
