#include "lovageledge/platform/object_store.hpp"

#include "scripted_server.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <spdlog/fmt/fmt.h>

namespace lovageledge::platform {
namespace {

/** Lists of the store in several pages, with objects of another writer under names of any characters. */
class store_pages_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_pages_test);
    CPPUNIT_TEST(list_continues_after_a_name_of_any_characters);
    CPPUNIT_TEST(list_that_does_not_advance_is_not_complete);
    CPPUNIT_TEST(list_continues_after_names_that_are_no_text);
    CPPUNIT_TEST(list_continues_after_items_without_a_name);
    CPPUNIT_TEST(other_metadata_that_cannot_be_read_leaves_the_object);
    CPPUNIT_TEST_SUITE_END();

    struct item {
        /** The bytes by which the store orders objects. */
        std::string name;
        /** The object as the store sends it. */
        std::string text;
    };

    static item item_named(const std::string& name) {
        return {
            name,
            nlohmann::json{{"metadata", {{"name", name}, {"revision", 12}}}, {"spec", {{"x", 1}}}}.dump()};
    }

    static std::string percent_decoded(std::string_view text) {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                decoded += static_cast<char>(std::stoi(std::string{text.substr(i + 1, 2)}, nullptr, 16));
                i += 2;
            } else {
                decoded += text[i] == '+' ? ' ' : text[i];
            }
        }
        return decoded;
    }

    /** @returns the decoded value of a parameter in a request's query, empty if there is none; nothing if the
        request line is malformed */
    static std::optional<std::string> query_parameter(const std::string& request, std::string_view name) {
        const std::string line = request.substr(0, request.find("\r\n"));
        if (std::count(line.begin(), line.end(), ' ') != 2) {
            return std::nullopt;
        }
        const std::string target = line.substr(4, line.rfind(' ') - 4);
        std::string_view query{target};
        query = query.substr(0, query.find('#'));
        query.remove_prefix(std::min(query.size(), query.find('?') + 1));
        while (!query.empty()) {
            const std::string_view pair = query.substr(0, query.find('&'));
            query.remove_prefix(std::min(query.size(), pair.size() + 1));
            if (pair.substr(0, pair.find('=')) == name) {
                return percent_decoded(pair.substr(name.size() + 1));
            }
        }
        return std::string{};
    }

    /** @returns the response to a list request */
    static std::string list_page(const std::vector<item>& items, const std::string& request,
                                 std::size_t page_size) {
        const auto after = query_parameter(request, "after");
        if (!after) {
            return "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n";
        }
        std::string page;
        std::size_t count = 0;
        bool has_more = false;
        for (const item& object : items) {
            if (!after->empty() && object.name <= *after) {
                continue;
            }
            has_more = count == page_size;
            if (has_more) {
                break;
            }
            page += (count++ == 0 ? "" : ",") + object.text;
        }
        const std::string body =
            fmt::format(R"({{"items":[{}],"more_pages":{},"as_of":20}})", page, has_more);
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
    }

    using respond_function = std::function<std::string(const std::string& request)>;

    /** Lists a kind. @param respond returns the store's response to a request */
    static std::optional<object_list> list(const respond_function& respond) {
        const scripted_server server{[&](blocking_connection& connection, int) {
            for (std::string request; !(request = connection.read_message()).empty();) {
                connection.write(respond(request));
            }
        }};
        asio::io_context context;
        object_store store{context.get_executor(), server.address(), std::make_shared<era_monitor>()};
        const auto call = [&]() -> asio::awaitable<std::optional<object_list>> {
            error why;
            co_return co_await store.list("servers", read_consistency::linearizable, why);
        };
        auto pending = asio::co_spawn(context, call(), asio::use_future);
        context.run();
        return pending.get();
    }

    static std::vector<std::string> names_of(const std::optional<object_list>& objects) {
        std::vector<std::string> names;
        for (const stored_object& object : objects.value_or(object_list{}).objects) {
            names.push_back(object.name);
        }
        return names;
    }

    static std::string describe(const std::string& name, std::size_t page_size) {
        return nlohmann::json(name).dump(-1, ' ', true) + " in pages of " + std::to_string(page_size);
    }

public:
    // The name that ends a page is part of the next request. Such a name ended or repeated the list, or made
    // the request malformed.
    void list_continues_after_a_name_of_any_characters() {
        const std::string every_ascii_character = [] {
            std::string text;
            for (char character = 0; character < 127; ++character) {
                text += character;
            }
            return text;
        }();
        std::vector<std::string> odd_names{
            "&",          "+",         "#",         "%",       " ",           "m%41",
            "m&after=zz", "m&watch=1", "m\r\nX: y", "m\u00e9", "m\U0001f600", "m" + every_ascii_character};
        for (const char character : every_ascii_character) {
            odd_names.push_back(std::string{"m"} + character + "x");
        }
        for (const std::string& odd_name : odd_names) {
            std::vector<std::string> expected{"a", "b", "n", "z", odd_name};
            std::sort(expected.begin(), expected.end());
            std::vector<item> items;
            std::transform(expected.begin(), expected.end(), std::back_inserter(items), item_named);
            for (const std::size_t page_size : {1, 2, 3}) {
                const auto listed =
                    list([&](const std::string& request) { return list_page(items, request, page_size); });
                CPPUNIT_ASSERT_MESSAGE(describe(odd_name, page_size), names_of(listed) == expected);
            }
        }
    }

    // What had been read until then was taken for the whole list: the servers of the other pages were
    // removed.
    void list_that_does_not_advance_is_not_complete() {
        const std::vector<std::string> pages{
            R"({"items":[],"more_pages":true,"as_of":20})",
            R"({"items":[)" + item_named("a").text + R"(],"more_pages":true,"as_of":20})",
            R"({"items":[{"metadata":{"revision":12}}],"more_pages":true,"as_of":20})",
            R"({"items":[)" + item_named("").text + R"(],"more_pages":true,"as_of":20})"};
        for (const std::string& page : pages) {
            const auto listed = list([&](const std::string&) {
                return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", page.size(), page);
            });
            CPPUNIT_ASSERT_MESSAGE(page, !listed);
        }
    }

    // Objects whose names can't be read are left out, also where they end a page.
    void list_continues_after_names_that_are_no_text() {
        const std::vector<std::string> unreadable_names{"\"m\xff\"", "\"m\xc3\"", "\"m\x01\"", R"("m\ud800")",
                                                        R"("m\u0041\udfffx")"};
        for (const std::string& name : unreadable_names) {
            const std::string text = R"({"metadata":{"name":)" + name + R"(,"revision":12},"spec":{}})";
            const std::vector<item> items{
                item_named("a"), item_named("b"), {"m", text}, item_named("n"), item_named("z")};
            for (const std::size_t page_size : {1, 2, 3}) {
                const auto listed =
                    list([&](const std::string& request) { return list_page(items, request, page_size); });
                CPPUNIT_ASSERT_MESSAGE(name + " in pages of " + std::to_string(page_size),
                                       (names_of(listed) == std::vector<std::string>{"a", "b", "n", "z"}));
            }
        }
    }

    void list_continues_after_items_without_a_name() {
        for (const std::string item_text :
             {R"({"metadata":{"revision":12},"spec":{}})", R"({"metadata":{"name":5,"revision":12}})",
              R"({"metadata":"\xff"})", R"({"spec":{}})", "null", "5", R"("\xff")", "[]"}) {
            const std::vector<item> items{
                item_named("a"), {"b", item_text}, item_named("n"), item_named("z")};
            for (const std::size_t page_size : {2, 3}) {
                const auto listed =
                    list([&](const std::string& request) { return list_page(items, request, page_size); });
                CPPUNIT_ASSERT_MESSAGE(item_text + " in pages of " + std::to_string(page_size),
                                       (names_of(listed) == std::vector<std::string>{"a", "n", "z"}));
            }
        }
    }

    // The entry of a server stays usable.
    void other_metadata_that_cannot_be_read_leaves_the_object() {
        const std::string text =
            R"({"metadata":{"name":"a","revision":12,"finalizers":[1e999]},"spec":{"x":1}})";
        const auto listed = list([&](const std::string& request) {
            return list_page({{"a", text}, item_named("b")}, request, 1);
        });
        CPPUNIT_ASSERT((names_of(listed) == std::vector<std::string>{"a", "b"}));
        CPPUNIT_ASSERT(listed->objects.front().spec == nlohmann::json({{"x", 1}}));
    }
};

} // namespace
} // namespace lovageledge::platform

CPPUNIT_TEST_SUITE_REGISTRATION(lovageledge::platform::store_pages_test);
