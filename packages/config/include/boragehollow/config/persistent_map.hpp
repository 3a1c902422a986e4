#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace boragehollow::config {

/// Immutable ordered map whose versions share nodes: `insert` and `erase` return a new map and copy only the
/// O(log n) nodes on the path to the key. Implemented as a treap; `Priority` hashes a key and must not depend
/// on the process.
template <class Key, class Value, class Priority>
class persistent_map {
    struct node;
    using link = std::shared_ptr<const node>;

public:
    using value_type = std::pair<const Key, Value>;

private:
    struct node {
        std::shared_ptr<const value_type> entry;
        std::uint64_t priority;
        link left;
        link right;
    };

public:
    /// Iterates over the entries in the order of their keys.
    class const_iterator {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = persistent_map::value_type;
        using difference_type = std::ptrdiff_t;
        using pointer = const value_type*;
        using reference = const value_type&;

        const_iterator() = default;
        explicit const_iterator(const node* root) { descend(root); }

        reference operator*() const { return *m_path.back()->entry; }
        pointer operator->() const { return m_path.back()->entry.get(); }

        const_iterator& operator++() {
            const node* current = m_path.back();
            m_path.pop_back();
            descend(current->right.get());
            return *this;
        }

        const_iterator operator++(int) {
            const_iterator before = *this;
            ++*this;
            return before;
        }

        bool operator==(const const_iterator& other) const { return m_path == other.m_path; }

    private:
        void descend(const node* from) {
            for (; from != nullptr; from = from->left.get()) {
                m_path.push_back(from);
            }
        }

        std::vector<const node*> m_path;
    };

    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }
    const_iterator begin() const { return const_iterator(m_root.get()); }
    const_iterator end() const { return {}; }

    /// Returns the value of `key`, or null.
    const Value* find(const Key& key) const {
        const node* current = m_root.get();
        while (current != nullptr) {
            if (key < current->entry->first) {
                current = current->left.get();
                continue;
            }
            if (current->entry->first < key) {
                current = current->right.get();
                continue;
            }
            return &current->entry->second;
        }
        return nullptr;
    }

    /// Returns a map in which `key` has `value`.
    [[nodiscard]] persistent_map insert(Key key, Value value) const {
        const bool known = find(key) != nullptr;
        const std::uint64_t priority = Priority{}(key);
        auto entry = std::make_shared<const value_type>(std::move(key), std::move(value));
        return persistent_map(insert_into(m_root, std::move(entry), priority), known ? m_size : m_size + 1);
    }

    /// Returns a map without `key`.
    [[nodiscard]] persistent_map erase(const Key& key) const {
        if (find(key) == nullptr) {
            return *this;
        }
        return persistent_map(erase_from(m_root, key), m_size - 1);
    }

    persistent_map() = default;

private:
    persistent_map(link root, std::size_t size) : m_root(std::move(root)), m_size(size) {}

    static link make(const node& like, link left, link right) {
        return std::make_shared<const node>(
            node{like.entry, like.priority, std::move(left), std::move(right)});
    }

    /// Returns the tree of the keys below `key` and the tree of the keys above it; `key` itself is not in
    /// `tree`.
    static std::pair<link, link> split(const link& tree, const Key& key) {
        if (!tree) {
            return {};
        }
        if (tree->entry->first < key) {
            auto [low, high] = split(tree->right, key);
            return {make(*tree, tree->left, std::move(low)), std::move(high)};
        }
        auto [low, high] = split(tree->left, key);
        return {std::move(low), make(*tree, std::move(high), tree->right)};
    }

    static link merge(const link& low, const link& high) {
        if (!low) {
            return high;
        }
        if (!high) {
            return low;
        }
        if (low->priority < high->priority) {
            return make(*high, merge(low, high->left), high->right);
        }
        return make(*low, low->left, merge(low->right, high));
    }

    static link insert_into(const link& tree, std::shared_ptr<const value_type> entry,
                            std::uint64_t priority) {
        if (!tree) {
            return std::make_shared<const node>(node{std::move(entry), priority, nullptr, nullptr});
        }
        // No key of this subtree has a higher priority than its root, so the new entry is not in the subtree
        // and `split` applies.
        if (priority > tree->priority) {
            auto [low, high] = split(tree, entry->first);
            return std::make_shared<const node>(
                node{std::move(entry), priority, std::move(low), std::move(high)});
        }
        if (entry->first < tree->entry->first) {
            return make(*tree, insert_into(tree->left, std::move(entry), priority), tree->right);
        }
        if (tree->entry->first < entry->first) {
            return make(*tree, tree->left, insert_into(tree->right, std::move(entry), priority));
        }
        return std::make_shared<const node>(node{std::move(entry), priority, tree->left, tree->right});
    }

    static link erase_from(const link& tree, const Key& key) {
        if (key < tree->entry->first) {
            return make(*tree, erase_from(tree->left, key), tree->right);
        }
        if (tree->entry->first < key) {
            return make(*tree, tree->left, erase_from(tree->right, key));
        }
        return merge(tree->left, tree->right);
    }

    link m_root;
    std::size_t m_size = 0;
};

} // namespace boragehollow::config
