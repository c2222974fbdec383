#include "standin.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <array>
#include <memory>
#include <vector>

namespace chestnutsill::standin {

namespace {

namespace json = boost::json;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

tcp::endpoint toEndpoint(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

/// A TCP proxy that injects faults. Options: listen, target, control. The address `control` takes commands as
/// JSON with the fields `mode` (pass; cut: close all connections and reject new ones; silent: forward
/// nothing; mute: forward no responses; dark: forward nothing and leave new connections without an answer, as
/// a machine without power does), `silenceOpen` (connections that are open now forward nothing from
/// now on) and `delayMs` (delay of forwarded data).
class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &io, const Options &options)
        : m_io(io)
        , m_target(toEndpoint(options.at("target")))
        , m_acceptor(io, toEndpoint(options.at("listen")))
        , m_control(io, options.at("control"), HttpLimits{},
                    [this](Exchange &exchange, const Fiber &fiber) { control(exchange, fiber); })
    {
        startFiber(io, [this](const Fiber &fiber) { accept(fiber); });
    }

private:
    struct Connection
    {
        explicit Connection(boost::asio::io_context &io)
            : caller(io)
            , server(io)
        {}

        void close()
        {
            boost::system::error_code ignored;
            caller.close(ignored);
            server.close(ignored);
        }

        tcp::socket caller;
        tcp::socket server;
        bool silenced = false;
    };

    void control(Exchange &exchange, const Fiber &fiber)
    {
        const json::object command = parseObject(exchange.request().body);
        if (command.contains("mode"))
            setMode(command.at("mode").as_string().c_str());
        m_delayMs = integer(command, "delayMs", m_delayMs);
        for (const auto &weak : m_connections) {
            const auto connection = weak.lock();
            if (!connection)
                continue;
            connection->silenced = connection->silenced || flag(command, "silenceOpen");
            if (m_mode == "cut")
                connection->close();
        }
        std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
        respondJson(exchange, 200, json::object{{"connections", m_connections.size()}}, fiber);
    }

    void setMode(const std::string &mode)
    {
        constexpr int Fillers = 2;
        const bool wasDark = m_mode == "dark";
        m_mode = mode;
        if (wasDark == (mode == "dark"))
            return;
        // The kernel ignores attempts to connect while the queue of connections to accept is full.
        ::listen(m_acceptor.native_handle(), wasDark ? boost::asio::socket_base::max_listen_connections : 0);
        m_fillers.clear();
        if (wasDark)
            return;
        m_acceptor.cancel();
        for (int i = 0; i < Fillers; ++i) {
            auto filler = std::make_shared<tcp::socket>(m_io);
            filler->async_connect(m_acceptor.local_endpoint(),
                                  [filler](const boost::system::error_code &) {});
            m_fillers.push_back(std::move(filler));
        }
    }

    void accept(const Fiber &fiber)
    {
        for (;;) {
            if (m_mode == "dark") {
                sleepFor(milliseconds(20), fiber);
                continue;
            }
            auto connection = std::make_shared<Connection>(m_io);
            boost::system::error_code error;
            m_acceptor.async_accept(connection->caller, fiber[error]);
            if (error || m_mode == "cut")
                continue;
            m_connections.push_back(connection);
            startFiber(m_io, [this, connection](const Fiber &serving) { serve(connection, serving); });
        }
    }

    void serve(const std::shared_ptr<Connection> &connection, const Fiber &fiber)
    {
        boost::system::error_code error;
        connection->server.async_connect(m_target, fiber[error]);
        if (error) {
            connection->close();
            return;
        }
        connection->caller.set_option(tcp::no_delay(true), error);
        connection->server.set_option(tcp::no_delay(true), error);
        startFiber(m_io, [this, connection](const Fiber &responseFiber) {
            pump(connection, connection->server, connection->caller, true, responseFiber);
        });
        pump(connection, connection->caller, connection->server, false, fiber);
    }

    void pump(const std::shared_ptr<Connection> &connection, tcp::socket &from, tcp::socket &to,
              bool isResponse, const Fiber &fiber)
    {
        std::array<char, 16384> buffer;
        boost::system::error_code error;
        for (;;) {
            const std::size_t size = from.async_read_some(boost::asio::buffer(buffer), fiber[error]);
            const auto isSilent = [&] {
                return connection->silenced || m_mode == "silent" || m_mode == "dark"
                       || (m_mode == "mute" && isResponse);
            };
            if (isSilent())
                delayClose(connection, from, fiber, error);
            if (error)
                break;
            if (m_delayMs > 0)
                sleepFor(milliseconds(m_delayMs), fiber);
            if (isSilent())
                continue;
            boost::asio::async_write(to, boost::asio::buffer(buffer.data(), size), fiber[error]);
            if (error)
                break;
        }
        connection->close();
    }

    /// Waits after the end of a connection until the proxy forwards again, so that the other side doesn't
    /// learn of the end, as in a network that silently drops a connection. If `silenceOpen` has silenced the
    /// connection, it waits until the connection is closed.
    void delayClose(const std::shared_ptr<Connection> &connection, tcp::socket &from, const Fiber &fiber,
                    boost::system::error_code &error)
    {
        while (error && from.is_open() && (connection->silenced || m_mode != "pass"))
            sleepFor(milliseconds(50), fiber);
    }

    boost::asio::io_context &m_io;
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
    std::string m_mode = "pass";
    std::int64_t m_delayMs = 0;
    std::vector<std::weak_ptr<Connection>> m_connections;
    /// Connections that fill the queue of connections to accept.
    std::vector<std::shared_ptr<tcp::socket>> m_fillers;
    HttpServer m_control;
};

} // namespace

void runFaultProxy(boost::asio::io_context &io, const Options &options)
{
    const FaultProxy proxy(io, options);
    io.run();
}

} // namespace chestnutsill::standin
