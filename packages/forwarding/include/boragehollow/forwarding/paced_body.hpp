#pragma once

#include "boragehollow/forwarding/asio.hpp"

#include <chrono>
#include <cstddef>

namespace boragehollow::forwarding {

/// Size of the chunks in which a large body is written. A chunk takes 9 ms on a link of 7 Mbit/s, which is
/// how long another message waits behind it.
inline constexpr std::size_t body_chunk_bytes = 8 * 1024;

/// Writes a message whose body is spread over `duration`, so that small messages of other calls are sent
/// between its chunks. `on_written` gets the number of bytes after each write.
template <class Stream, class Serializer, class OnWritten>
asio::awaitable<void> write_paced(Stream& stream, Serializer& serializer, std::size_t body_bytes,
                                  std::chrono::milliseconds duration, error_code& error,
                                  OnWritten on_written) {
    serializer.limit(body_chunk_bytes);
    const std::size_t chunks = body_bytes / body_chunk_bytes + 1;
    const auto pause = std::chrono::duration_cast<std::chrono::microseconds>(duration) / chunks;
    asio::steady_timer timer(stream.get_executor(), std::chrono::steady_clock::now());
    while (!serializer.is_done() && !error) {
        error_code ignored;
        co_await timer.async_wait(redirect_error_to(ignored));
        on_written(co_await http::async_write_some(stream, serializer, redirect_error_to(error)));
        timer.expires_at(timer.expiry() + pause);
    }
}

} // namespace boragehollow::forwarding
