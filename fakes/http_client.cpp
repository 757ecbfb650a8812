#include "fakes/http_client.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <limits>

namespace yuccawheel::fakes
{

namespace beast = boost::beast;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace
{

std::string text(beast::string_view view)
{
    return {view.data(), view.size()};
}

} // namespace

ClientAnswer sendRequest(std::uint16_t port,
                         const std::string &method,
                         const std::string &target,
                         const ClientFields &fields,
                         const std::string &body)
{
    asio::io_context context;
    Tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), port), error);
    beast::http::request<beast::http::string_body> request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    request.set(beast::http::field::host, "entry");
    for (const auto &[name, value] : fields) {
        request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    beast::http::response_parser<beast::http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.skip(method == "HEAD");
    if (!error) {
        beast::http::write(socket, request, error);
    }
    beast::http::read(socket, buffer, parser, error);
    if (error) {
        return {};
    }
    const auto &answer = parser.get();
    return {answer.result_int(), text(answer["Yw-Verdict"]), text(answer["Retry-After"]), answer.body()};
}

std::string sendRaw(std::uint16_t port, const std::string &text, bool halfClose)
{
    asio::io_context context;
    Tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), port), error);
    asio::write(socket, asio::buffer(text), error);
    if (halfClose) {
        socket.shutdown(Tcp::socket::shutdown_send, error);
    }
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

} // namespace yuccawheel::fakes
