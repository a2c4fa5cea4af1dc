#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace lovageledge {

class memory_share;

/** What the memory of a message is used for. */
enum class memory_use {
    request,
    response,
    /** A caller's connection with the request that is received on it. Counted from the first byte. */
    connection,
};

/** @returns the name of a use for logs and metrics */
const char* to_text(memory_use use);

/**
    Limits the memory that all messages which a process holds take together.

    Each message draws from it through a memory_share as its bytes arrive. When it is used up, the largest
    message that is still arriving is given up, so that one peer that sends without end, or many that send
    large messages, do not take the memory from the others. Messages up to free_bytes are not counted and
    always accepted: the limit on connections bounds them. Not thread-safe.
*/
class memory_budget {
public:
    /** Largest message that is accepted whatever the others hold. */
    static constexpr std::size_t free_bytes = std::size_t{16} * 1024;

    /** Called with the use and size of each message that is given up. */
    using cut_hook = std::function<void(memory_use use, std::size_t bytes)>;
    /** Names the share that is given up first when one needs more memory, which may be this one; nullptr if
        there is none. */
    using victim_chooser = std::function<memory_share*(const memory_share& requesting)>;

    /** @param capacity most bytes that all counted messages may hold */
    explicit memory_budget(std::size_t capacity, cut_hook on_cut = {})
        : capacity_{capacity}, on_cut_{std::move(on_cut)} {}
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;
    ~memory_budget() = default;

    /** Sets who is given up before the largest arriving message is. */
    void set_victim_chooser(victim_chooser choose) { choose_victim_ = std::move(choose); }

    std::size_t capacity() const { return capacity_; }
    /** @returns the bytes that all counted messages hold */
    std::size_t held() const { return held_; }

private:
    friend class memory_share;

    /** Gives messages up until there is room. @returns false if the requesting one was given up itself */
    bool make_room(memory_share& requesting, std::size_t bytes);

    std::size_t capacity_;
    cut_hook on_cut_;
    victim_chooser choose_victim_;
    std::size_t held_ = 0;
    std::set<memory_share*> shares_;
};

/** The part of a memory_budget that one message holds, from its first byte until it is destroyed. Not
    thread-safe. */
class memory_share {
public:
    /** @param budget nullptr for a message without a limit of this kind
        @param on_cut called when the message is given up for the sake of others: stops reading it. It must
       not destroy a share. */
    memory_share(std::shared_ptr<memory_budget> budget, memory_use use, std::function<void()> on_cut);
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;
    ~memory_share();

    /** Sets the size that the message has now. Precondition: the message was not given up.
        @returns false if there is no room, so that the message was given up */
    bool resize(std::size_t bytes);
    /** Keeps the message from being given up: it has arrived as a whole. */
    void set_complete() { is_complete_ = true; }
    /** Lets the message be given up again: its connection waits for the next one. */
    void set_arriving() { is_complete_ = false; }
    /** @returns the bytes that count */
    std::size_t counted() const { return counted_; }
    /** @returns true if the message was given up; its bytes do not count any more */
    bool is_cut() const { return is_cut_; }

private:
    friend class memory_budget;

    void give_up();

    std::shared_ptr<memory_budget> budget_;
    memory_use use_;
    std::function<void()> on_cut_;
    std::size_t counted_ = 0;
    bool is_complete_ = false;
    bool is_cut_ = false;
};

} // namespace lovageledge
