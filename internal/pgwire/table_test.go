package pgwire

import "testing"

// The table group of a statement is that of the table that it reads or writes. Names in its strings and comments
// don't count.
func TestTableGroup(t *testing.T) {
	for _, c := range []struct {
		statement string
		group     int64
		found     bool
	}{
		{"SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", 17, true},
		{"INSERT INTO sales_5.orders SELECT * FROM staging.batch_9", 5, true},
		{"SELECT 1 FROM staging.b_3 JOIN Sales_5.orders ON true", 5, true},
		{"SELECT 'from a_1.b' FROM c_2.d", 2, true},
		{"SELECT 'it''s from a_1.b' FROM c_2.d", 2, true},
		{`SELECT E'\' from a_1.b' FROM c_2.d`, 2, true},
		{"SELECT $$ from a_1.b $$, $x$ from a_3.b $x$ FROM c_2.d", 2, true},
		{"/* from a_1.b /* nested */ from a_3.b */ SELECT 1 -- from a_4.b\nFROM c_2.d", 2, true},
		{`SELECT "from a_1.b" FROM "c_2"."d"`, 2, true},
		{"SELECT t_9.note FROM c_2.d AS t_9", 2, true},
		{"SELECT 1.5 FROM x, c_2.d", 2, true},
		{"UPDATE ONLY c_2.d SET x = 1", 2, true},
		{"DELETE FROM c_2.d", 2, true},
		{"SELECT 1 FROM staging.d", 0, false},
		{"SELECT 1 FROM staging_4.d", 0, false},
		{"SELECT 1", 0, false},
		{"SELECT 'open FROM c_2.d", 0, false},
		{"SELECT 1 FROM c_x.d", 0, false},
		{"SELECT 1 FROM c_99999999999999999999.d", 0, false},
	} {
		if group, found := FindTable([]byte(c.statement)); group.Group != c.group || found != c.found {
			t.Errorf("%s: got group %d, found: %t, want those of the case", c.statement, group.Group, found)
		}
	}
}
