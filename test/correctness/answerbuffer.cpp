/** \file
 * Tests that unacknowledged bytes can be read again and that acknowledged bytes are dropped.
 */

#include "agent/answerbuffer.h"

#include <criterion/criterion.h>

using jujube::agent::AnswerBuffer;

Test(answerbuffer, a_lost_reply_is_read_again_from_the_same_offset)
{
    AnswerBuffer buffer;
    buffer.append("hello ");
    cr_assert_eq(buffer.read(0, 100), "hello ");
    buffer.append("world");
    cr_assert_eq(buffer.read(0, 100), "hello world");
    buffer.acknowledge(6);
    cr_assert_eq(buffer.read(6, 3), "wor");
    cr_assert_eq(buffer.end(), 11U);
}

Test(answerbuffer, offsets_already_dropped_or_beyond_the_end_are_ignored)
{
    AnswerBuffer buffer;
    buffer.append("abcdef");
    buffer.acknowledge(4);
    buffer.acknowledge(2);
    buffer.acknowledge(99);
    cr_assert_eq(buffer.begin(), 4U);
    cr_assert_eq(buffer.read(2, 10), "");
    cr_assert_eq(buffer.read(4, 10), "ef");
    cr_assert_eq(buffer.read(6, 10), "");
}
