#pragma once

#include "http/client.h"
#include "http/server.h"

#include <event2/event.h>

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace waxwing::http {

/// Loop that tests drive until a condition holds.
class test_loop
{
public:
    test_loop() : m_base(event_base_new()) { }
    ~test_loop() { event_base_free(m_base); }
    test_loop(const test_loop &) = delete;
    test_loop &operator=(const test_loop &) = delete;

    event_base *base() const { return m_base; }

    /// Runs the loop until `done` holds; fails after 5 s.
    void runUntil(const std::function<bool()> &done)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!done()) {
            CPPUNIT_ASSERT_MESSAGE("condition not reached", std::chrono::steady_clock::now() < end);
            const timeval step{0, 20'000};
            event_base_loopexit(m_base, &step);
            event_base_loop(m_base, EVLOOP_ONCE);
        }
    }

private:
    event_base *m_base;
};

/// Plain TCP connection for input that the client would not send.
class raw_connection
{
public:
    /// On a narrow connection the buffers of the system take a few packets.
    explicit raw_connection(const endpoint &peer, bool isNarrow = false)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (isNarrow) {
            const int buffer = 4096;
            const int packet = 536;
            setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
            setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &packet, sizeof packet);
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(peer.port);
        inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr);
        CPPUNIT_ASSERT_EQUAL(
            0, connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address));
    }
    ~raw_connection() { close(); }
    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    void write(const std::string &text) const
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()),
                             ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL));
    }
    /// Appends what has arrived to `received`.
    void poll()
    {
        char buffer[4096];
        for (;;) {
            const ssize_t size = recv(m_socket, buffer, sizeof buffer, MSG_DONTWAIT);
            closed = closed || size == 0 || (size < 0 && errno == ECONNRESET);
            if (size <= 0)
                return;
            received.append(buffer, static_cast<std::size_t>(size));
        }
    }
    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

    std::string received;
    bool closed = false;

private:
    int m_socket;
};

} // namespace waxwing::http
