#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace boragehollow::forwarding {

class memory_lease;

/// Bytes in blocks that copies share, so that the attempts of a call do not copy its body. Only the first
/// owner appends, before the first copy.
class shared_bytes {
public:
    static constexpr std::size_t max_block_bytes = 64 * 1024;

    shared_bytes() = default;
    explicit shared_bytes(std::string text) : m_size(text.size()) {
        if (!text.empty()) {
            m_blocks.push_back(std::make_shared<std::string>(std::move(text)));
        }
    }

    /// Size of the blocks to come, if it is known.
    void expect(std::uint64_t bytes) { m_expected = static_cast<std::size_t>(bytes); }

    void append(const char* data, std::size_t count) {
        while (count > 0) {
            if (m_blocks.empty() || room_in_last_block() == 0) {
                add_block(count);
            }
            const std::size_t part = std::min(count, room_in_last_block());
            m_blocks.back()->append(data, part);
            m_size += part;
            data += part;
            count -= part;
        }
    }

    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }
    /// Memory of all blocks.
    std::size_t capacity() const { return m_capacity > m_size ? m_capacity : m_size; }
    /// Memory of all blocks when this many bytes more have been appended.
    std::size_t capacity_with(std::size_t bytes) const { return std::max(capacity(), m_size + bytes); }
    const std::vector<std::shared_ptr<std::string>>& blocks() const { return m_blocks; }

    std::string to_string() const {
        std::string text;
        text.reserve(m_size);
        for (const auto& block : m_blocks) {
            text += *block;
        }
        return text;
    }

    /// The share of the memory budget that these bytes hold; it ends with the last copy.
    void hold(std::shared_ptr<memory_lease> lease) { m_lease = std::move(lease); }
    const std::shared_ptr<memory_lease>& lease() const { return m_lease; }

private:
    std::size_t room_in_last_block() const { return m_blocks.back()->capacity() - m_blocks.back()->size(); }

    void add_block(std::size_t count) {
        constexpr std::size_t min_block_bytes = 512;
        // Without a known size the blocks grow, so that a small body takes little memory.
        const std::size_t wanted =
            m_expected > m_size ? m_expected - m_size : std::max({count, m_size, min_block_bytes});
        m_blocks.push_back(std::make_shared<std::string>());
        m_blocks.back()->reserve(std::min(wanted, max_block_bytes));
        m_capacity += m_blocks.back()->capacity();
    }

    std::vector<std::shared_ptr<std::string>> m_blocks;
    std::size_t m_size = 0;
    std::size_t m_capacity = 0;
    std::size_t m_expected = 0;
    std::shared_ptr<memory_lease> m_lease;
};

/// Body of Boost.Beast messages whose copies share their bytes.
struct shared_body {
    using value_type = shared_bytes;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*header*/, value_type& body) : m_body(body) {}

        void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& error) {
            if (length) {
                m_body.expect(*length);
            }
            error = {};
        }

        template <class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence& buffers, boost::system::error_code& error) {
            error = {};
            std::size_t total = 0;
            for (auto position = boost::asio::buffer_sequence_begin(buffers);
                 position != boost::asio::buffer_sequence_end(buffers); ++position) {
                const boost::asio::const_buffer buffer = *position;
                m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
                total += buffer.size();
            }
            return total;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& m_body;
    };

    class writer {
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template <bool IsRequest, class Fields>
        writer(const boost::beast::http::header<IsRequest, Fields>& /*header*/, const value_type& body)
            : m_body(body) {}

        void init(boost::system::error_code& error) { error = {}; }

        boost::optional<std::pair<const_buffers_type, bool>> get(boost::system::error_code& error) {
            error = {};
            const auto& blocks = m_body.blocks();
            if (m_next >= blocks.size()) {
                return std::pair(const_buffers_type(), false);
            }
            const std::string& block = *blocks[m_next++];
            return std::pair(const_buffers_type(block.data(), block.size()), m_next < blocks.size());
        }

    private:
        const value_type& m_body;
        std::size_t m_next = 0;
    };
};

} // namespace boragehollow::forwarding
