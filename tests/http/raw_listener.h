#pragma once

#include "core/endpoint.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

namespace waxwing::http {

/// Listening socket whose connections a test serves by hand.
class raw_listener
{
public:
    raw_listener() : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        CPPUNIT_ASSERT_EQUAL(
            0, bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address));
        CPPUNIT_ASSERT_EQUAL(0, listen(m_socket, 16));
        socklen_t size = sizeof address;
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        m_address = {"127.0.0.1", ntohs(address.sin_port)};
    }
    ~raw_listener()
    {
        for (const int peer : peers)
            ::close(peer);
        ::close(m_socket);
    }
    raw_listener(const raw_listener &) = delete;
    raw_listener &operator=(const raw_listener &) = delete;

    const endpoint &address() const { return m_address; }
    /// Takes what has arrived; bytes of all connections are appended to `received`.
    void poll()
    {
        for (int peer = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
             peer >= 0; peer = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK))
            peers.push_back(peer);
        char buffer[4096];
        for (const int peer : peers) {
            for (ssize_t size = 0; (size = recv(peer, buffer, sizeof buffer, 0)) > 0;)
                received.append(buffer, static_cast<std::size_t>(size));
        }
    }
    void write(std::size_t peer, const std::string &text) const
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                             ::send(peers.at(peer), text.data(), text.size(), MSG_NOSIGNAL));
    }
    void close(std::size_t peer)
    {
        ::close(peers.at(peer));
        peers[peer] = -1;
    }
    /// Resets the connection.
    void reset(std::size_t peer)
    {
        const linger hard{1, 0};
        setsockopt(peers.at(peer), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close(peer);
    }

    std::vector<int> peers;
    std::string received;

private:
    int m_socket;
    endpoint m_address;
};

} // namespace waxwing::http
