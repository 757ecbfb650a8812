#include "http/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace yuccawheel::http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr std::uint64_t MaxAnswerBytes = 64ULL << 20U;
constexpr unsigned HttpVersion11 = 11;

bool equalNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

/// One call. All steps are asynchronous, so that the deadline also applies if the server doesn't respond.
class Call
{
public:
    Call(const settings::Endpoint &server, const ClientRequest &request, std::chrono::milliseconds timeout)
        : server_(server)
        , stream_(context_)
    {
        stream_.expires_after(timeout);
        parser_.body_limit(MaxAnswerBytes);
        prepareMessage(request);
    }

    tl::expected<ClientResponse, CallError> run()
    {
        boost::system::error_code invalid;
        const auto address = asio::ip::make_address(server_.ip, invalid);
        if (invalid) {
            return tl::unexpected(CallError{base::Verdict::NotRun, "malformed address " + server_.ip});
        }
        stream_.async_connect({address, server_.port}, [this](beast::error_code error) { onConnect(error); });
        context_.run();
        if (error_) {
            return tl::unexpected(CallError{verdict_, fmt::format("{}: {}", toString(server_), error_.message())});
        }
        if (lengthMissing_) {
            return tl::unexpected(CallError{verdict_, toString(server_) + ": answer without a length"});
        }
        return takeResponse();
    }

private:
    void prepareMessage(const ClientRequest &request)
    {
        message_.method_string(request.method);
        message_.target(request.target);
        message_.version(HttpVersion11);
        message_.set(beast::http::field::host, toString(server_));
        message_.keep_alive(false);
        for (const Header &header : request.headers) {
            message_.set(header.name, header.value);
        }
        message_.body() = request.body;
        message_.prepare_payload();
    }

    void onConnect(beast::error_code error)
    {
        if (error) {
            error_ = error;
            return;
        }
        verdict_ = base::Verdict::MayHaveRun;
        beast::http::async_write(
            stream_, message_, [this](beast::error_code failure, std::size_t /*bytes*/) { onWrite(failure); });
    }

    // The answer is read even after a write error: a server may answer and close before it has read the whole request.
    void onWrite(beast::error_code error)
    {
        if (error == beast::error::timeout) {
            error_ = error;
            return;
        }
        beast::http::async_read(
            stream_, buffer_, parser_, [this, error](beast::error_code failure, std::size_t /*bytes*/) {
                // An answer delimited by the end of the connection can't be distinguished from a truncated one.
                lengthMissing_ = !failure && parser_.need_eof() && parser_.get().result_int() != 204;
                error_ = failure && error ? error : failure;
            });
    }

    ClientResponse takeResponse()
    {
        ClientResponse response;
        response.status = static_cast<int>(parser_.get().result_int());
        for (const auto &field : parser_.get()) {
            response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        response.body = std::move(parser_.get().body());
        return response;
    }

    settings::Endpoint server_;
    asio::io_context context_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    beast::http::request<beast::http::string_body> message_;
    beast::http::response_parser<beast::http::string_body> parser_;
    base::Verdict verdict_ = base::Verdict::NotRun;
    beast::error_code error_;
    bool lengthMissing_ = false;
};

} // namespace

std::string_view ClientResponse::header(std::string_view name) const
{
    for (const Header &header : headers) {
        if (equalNames(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

tl::expected<ClientResponse, CallError>
call(const settings::Endpoint &server, const ClientRequest &request, std::chrono::milliseconds timeout)
{
    return Call(server, request, timeout).run();
}

} // namespace yuccawheel::http
